// PeerClient: one thread with the channels to all peers.

#include "peers/peer_client.h"

#include <map>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "base/event_log.h"
#include "base/socket_address.h"
#include "logstore/http_connection.h"
#include "logstore/log_client.h"
#include "peers/json_rpc_codec.h"
#include "peers/peer_channel.h"
#include "peers/peer_messages.h"
#include "peers/peers_events.h"

namespace pollenrudder {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kCallTimeout{400};
constexpr std::chrono::milliseconds kSnapshotTimeout{5000};

// Each kind has its own connection, so that a long poll for the log tail does
// not delay promises.
enum class ChannelKind { kControl, kTail, kSnapshot };

}  // namespace

class PeerClient::Core {
 public:
  Core(std::string instance,
       std::string region,
       BoundedRing<ControllerInput>& inputs,
       Metrics& metrics)
      : instance_(std::move(instance)),
        region_(std::move(region)),
        context_(1),
        inputs_(inputs),
        metrics_(metrics),
        work_guard_(context_.get_executor()) {
    thread_ = std::thread([this] { context_.run(); });
  }

  ~Core() {
    context_.stop();
    thread_.join();
  }

  template <typename Function>
  void Post(Function function) {
    asio::post(context_, std::move(function));
  }

  void SetInstances(const std::vector<ListedInstance>& instances) {
    regions_.clear();
    for (const ListedInstance& listed : instances) {
      if (listed.kind == ListedInstance::Kind::kEntry)
        regions_[listed.peer_address] = listed.region;
    }
    std::erase_if(channels_, [this](const auto& channel) {
      return !regions_.contains(channel.first.first) && channel.second->idle();
    });
    std::erase_if(unreachable_, [this](const auto& unreachable) {
      return !regions_.contains(unreachable.first);
    });
  }

  void SendPromise(const SendPromiseRequest& action, BootTime requested_at) {
    Call(action.peer_address, ChannelKind::kControl, kPromiseMethod,
         FormatPromiseParameters(instance_, action), kCallTimeout,
         [this, voter = action.voter, terms = action.terms,
          requested_at](const Result<std::string>& result) {
           PromiseAnswered answered{voter, requested_at};
           answered.answered =
               result &&
               ParsePromiseResult(result.assume_value(), terms, answered);
           // If the ring is full, the result is dropped and the lease is not
           // extended.
           if (!inputs_.Push(ControllerInput(std::move(answered))))
             metrics_.Count("pollenrudder_peer_answers_dropped_total");
         });
  }

  void SendOnce(const std::string& address,
                const char* method,
                const std::string& params) {
    Call(address, ChannelKind::kControl, method, params, kCallTimeout,
         [](const Result<std::string>&) {});
  }

  void FetchSnapshot(const std::string& address,
                     const SnapshotCallback& callback) {
    Call(address, ChannelKind::kSnapshot, kSnapshotMethod, "{}",
         kSnapshotTimeout, [callback](const Result<std::string>& result) {
           if (result)
             callback(ParseSnapshotResult(result.assume_value()));
           else
             callback(result.assume_error());
         });
  }

  void ReadTail(const std::string& address,
                LogOffset from,
                std::chrono::milliseconds wait,
                const Callback& callback) {
    const BootTime requested_at = BootClock::now();
    Call(address, ChannelKind::kTail, kTailMethod,
         FormatTailParameters({from, wait}),
         wait + LogClient::kRelayTimeoutMargin,
         [callback, requested_at](const Result<std::string>& result) {
           if (result)
             callback(ParseTailResult(result.assume_value(), requested_at));
           else
             callback(result.assume_error());
         });
  }

 private:
  using ResultCallback = std::function<void(const Result<std::string>&)>;

  void Call(const std::string& address,
            ChannelKind kind,
            const char* method,
            const std::string& params,
            std::chrono::milliseconds timeout,
            ResultCallback callback) {
    auto& channel = channels_[{address, kind}];
    if (!channel) {
      const auto endpoint = ParseSocketAddress(address);
      if (!endpoint) {
        channels_.erase({address, kind});
        callback(endpoint.assume_error());
        return;
      }
      channel = std::make_shared<PeerChannel>(context_.get_executor(),
                                              endpoint.assume_value(), codec_);
    }
    channel->Call(method, params, timeout,
                  [this, address, method, callback = std::move(callback)](
                      const Result<std::string>& result,
                      const PeerChannel::Usage& usage) {
                    RecordCall(address, method, result, usage);
                    callback(result);
                  });
  }

  void RecordCall(const std::string& address,
                  const char* method,
                  const Result<std::string>& result,
                  const PeerChannel::Usage& usage) {
    const auto region = regions_.find(address);
    const bool cross_region =
        region != regions_.end() && region->second != region_;
    const std::string labels =
        cross_region ? "link=\"region\"" : "link=\"local\"";
    metrics_.Count("pollenrudder_peer_bytes_total",
                   labels + ",direction=\"out\"", usage.sent);
    metrics_.Count("pollenrudder_peer_bytes_total",
                   labels + ",direction=\"in\"", usage.received);
    metrics_.Count("pollenrudder_peer_calls_total",
                   std::string("method=\"") + method +
                       (result ? "\",result=\"ok\"" : "\",result=\"failed\""));
    bool& unreachable = unreachable_[address];
    if (unreachable == result.has_error())
      return;
    unreachable = result.has_error();
    if (unreachable) {
      EventLog::Write(kPeerUnreachable,
                      {{"address", address},
                       {"method", method},
                       {"reason", result.assume_error().message}});
    } else {
      EventLog::Write(kPeerReachable, {{"address", address}});
    }
  }

  const std::string instance_;
  const std::string region_;
  asio::io_context context_;
  BoundedRing<ControllerInput>& inputs_;
  Metrics& metrics_;
  JsonRpcClientCodec codec_;
  // Region, and whether the last call failed, by peer address.
  std::map<std::string, std::string> regions_;
  std::map<std::string, bool> unreachable_;
  std::map<std::pair<std::string, ChannelKind>, std::shared_ptr<PeerChannel>>
      channels_;
  asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
  std::thread thread_;
};

std::unique_ptr<PeerClient> PeerClient::Create(
    std::string instance,
    std::string region,
    BoundedRing<ControllerInput>& inputs,
    Metrics& metrics) {
  return std::unique_ptr<PeerClient>(new PeerClient(std::make_unique<Core>(
      std::move(instance), std::move(region), inputs, metrics)));
}

PeerClient::PeerClient(std::unique_ptr<Core> core) : core_(std::move(core)) {}

PeerClient::~PeerClient() = default;

void PeerClient::SetInstances(const std::vector<ListedInstance>& instances) {
  core_->Post([this, instances] { core_->SetInstances(instances); });
}

void PeerClient::Send(const SendPromiseRequest& action) {
  core_->Post([this, action, requested_at = BootClock::now()] {
    core_->SendPromise(action, requested_at);
  });
}

void PeerClient::Send(const SendLoadReport& action) {
  core_->Post([this, action] {
    core_->SendOnce(action.peer_address, kLoadMethod,
                    FormatLoadParameters(action.report));
  });
}

void PeerClient::Send(const SendMoveAdvice& action) {
  core_->Post([this, action] {
    core_->SendOnce(action.peer_address, kMoveMethod,
                    FormatMoveParameters(action.advice));
  });
}

void PeerClient::FetchSnapshot(const std::string& peer_address,
                               SnapshotCallback callback) {
  core_->Post([this, peer_address, callback = std::move(callback)] {
    core_->FetchSnapshot(peer_address, callback);
  });
}

void PeerClient::ReadTail(const std::string& peer_address,
                          LogOffset from,
                          std::chrono::milliseconds wait,
                          Callback callback) {
  core_->Post([this, peer_address, from, wait, callback = std::move(callback)] {
    core_->ReadTail(peer_address, from, wait, callback);
  });
}

}  // namespace pollenrudder
