// LogstoreThread: both clients on one I/O context.

#include "logstore/logstore_thread.h"

#include <chrono>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "base/socket_address.h"
#include "logstore/input_outbox.h"
#include "logstore/instance_list_client.h"
#include "logstore/log_client.h"
#include "logstore/reader_tree.h"

namespace pollenrudder {

namespace asio = boost::asio;

class LogstoreThread::Core {
 public:
  Core(LogstoreOptions options,
       const asio::ip::tcp::endpoint& log,
       const asio::ip::tcp::endpoint& list,
       BoundedRing<ControllerInput>& inputs,
       Metrics& metrics,
       LogTail& tail,
       RelayReader* relay)
      : options_(std::move(options)),
        context_(1),
        outbox_(context_.get_executor(), inputs),
        log_client_(context_.get_executor(),
                    log,
                    outbox_,
                    metrics,
                    tail,
                    options_.relay_tree ? relay : nullptr),
        list_client_(
            context_.get_executor(),
            list,
            metrics,
            [this](const auto& instances) { OnInstancesListed(instances); }),
        work_(context_.get_executor()) {
    list_client_.Start();
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

  LogClient& log_client() { return log_client_; }

 private:
  void OnInstancesListed(const std::vector<ListedInstance>& instances) {
    if (options_.relay_tree) {
      log_client_.SetParent(
          FindReaderParent(instances, options_.instance, options_.zone));
    }
    outbox_.Deliver(InstancesListed{instances});
  }

  const LogstoreOptions options_;
  asio::io_context context_;
  InputOutbox outbox_;
  LogClient log_client_;
  InstanceListClient list_client_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
};

Result<std::unique_ptr<LogstoreThread>> LogstoreThread::Create(
    LogstoreOptions options,
    BoundedRing<ControllerInput>& inputs,
    Metrics& metrics,
    LogTail& tail,
    RelayReader* relay) {
  BOOST_OUTCOME_TRY(const auto log, ParseSocketAddress(options.log_address));
  BOOST_OUTCOME_TRY(const auto list,
                    ParseSocketAddress(options.instance_list_address));
  auto core = std::make_unique<Core>(std::move(options), log, list, inputs,
                                     metrics, tail, relay);
  return std::unique_ptr<LogstoreThread>(new LogstoreThread(std::move(core)));
}

LogstoreThread::LogstoreThread(std::unique_ptr<Core> core)
    : core_(std::move(core)) {}

LogstoreThread::~LogstoreThread() = default;

void LogstoreThread::ReadFrom(LogOffset next) {
  core_->Post([this, next] { core_->log_client().ReadFrom(next); });
}

void LogstoreThread::ReadNow(const ReadLogNow& action) {
  // The client reads from the first offset that it has not delivered, which is
  // not before the first one that the controller has not applied.
  (void)action;
  core_->Post([this] { core_->log_client().ReadNow(); });
}

void LogstoreThread::Append(const AppendRecord& action) {
  core_->Post([this, action] { core_->log_client().Append(action); });
}

}  // namespace pollenrudder
