// Implementation of UpstreamSender: the thread, its rings and one
// UpstreamLeader per upstream.

#include "upstreams/upstream_sender.h"

#include <atomic>
#include <cassert>
#include <chrono>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <utility>
#include <variant>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/bounded_ring.h"
#include "upstreams/byte_stream.h"
#include "upstreams/upstream_leader.h"

namespace pollenrudder {
namespace {

constexpr std::chrono::seconds kReportInterval{2};
constexpr std::size_t kControlRingCapacity = 65536;

struct Submission {
  std::uint64_t ticket = 0;
  UpstreamRequest request;
  UpstreamCallback callback;
};

struct Cancellation {
  std::uint64_t ticket = 0;
  std::string upstream;
};

struct IdRequest {
  std::string upstream;
  std::optional<std::uint32_t> shard;
  std::uint32_t count = 0;
  IssueCallback callback;
};

// A lease has changed; `lease` already holds the new expiry.
struct LeaseChange {
  std::string upstream;
  std::shared_ptr<SharedLease> lease;
};

using Work = std::variant<Submission, Cancellation, IdRequest>;
using Control = std::variant<LeaseChange,
                             DrainShards,
                             ResumeShards,
                             RoutingTablePointer,
                             MarkFingerprints>;

// Prefix of the ids of requests without an issued id. It is random, so that an
// upstream that stores ids never sees the same id from two processes.
std::string RandomPrefix() {
  std::random_device device;
  std::mt19937_64 random(device());
  return "t" + std::to_string(random()) + "-";
}

}  // namespace

class UpstreamSender::Core {
 public:
  Core(const Options& options, UpstreamListener& listener, Metrics& metrics)
      : options_(options),
        listener_(listener),
        metrics_(metrics),
        quarantine_(Quarantine::Options{}),
        request_ring_(options.ring_capacity, [this] { WakeUp(); }),
        control_ring_(kControlRingCapacity, [this] { WakeUp(); }),
        tick_timer_(io_),
        report_timer_(io_),
        id_prefix_(RandomPrefix()),
        work_guard_(boost::asio::make_work_guard(io_)) {
    ScheduleReport();
    thread_ = std::thread([this] { io_.run(); });
  }

  ~Core() {
    io_.stop();
    thread_.join();
  }
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  std::uint64_t Submit(UpstreamRequest request, UpstreamCallback callback) {
    const std::uint64_t ticket = next_ticket_.fetch_add(1);
    in_flight_.fetch_add(1);
    Work work(Submission{
        ticket, std::move(request),
        [this, callback = std::move(callback)](UpstreamResult result) {
          in_flight_.fetch_sub(1);
          callback(std::move(result));
        }});
    if (!request_ring_.Push(std::move(work))) {
      UpstreamResult result;
      result.error = ErrorKind::kNotRunOverloaded;
      std::get<Submission>(work).callback(std::move(result));
    }
    return ticket;
  }

  void Cancel(std::uint64_t ticket, const std::string& upstream) {
    // A cancellation that does not fit into the ring is dropped; the request
    // then ends at its deadline.
    (void)request_ring_.Push(Cancellation{ticket, upstream});
  }

  void Issue(IdRequest request) {
    Work work(std::move(request));
    if (!request_ring_.Push(std::move(work)))
      std::get<IdRequest>(work).callback({ErrorKind::kNotRunOverloaded, {}});
  }

  void ApplyLease(const SetLease& action) {
    std::shared_ptr<SharedLease> lease;
    {
      const std::lock_guard lock(leases_mutex_);
      std::shared_ptr<SharedLease>& entry = leases_[action.upstream];
      if (!entry || entry->fence != action.fence) {
        if (entry)
          entry->expires_at = 0;
        entry = std::make_shared<SharedLease>(action.fence);
      }
      entry->expires_at = action.valid_until.time_since_epoch().count();
      lease = entry;
    }
    PushControl(LeaseChange{action.upstream, std::move(lease)});
  }

  // Control messages are few and must not be lost: the control thread waits for
  // space in the ring, which a running sender frees within one pass of its
  // loop.
  void PushControl(Control control) {
    // Push() leaves the value unchanged if the ring is full.
    // NOLINTNEXTLINE(bugprone-use-after-move)
    while (!control_ring_.Push(std::move(control)))
      std::this_thread::yield();
  }

  std::size_t in_flight() const { return in_flight_.load(); }

 private:
  void WakeUp() {
    boost::asio::post(io_, [this] { ProcessRings(); });
  }

  void ProcessRings() {
    while (auto control = control_ring_.Pop())
      std::visit([this](auto& message) { Handle(message); }, *control);
    // Control messages are handled between requests as well.
    while (auto work = request_ring_.Pop()) {
      std::visit([this](auto& message) { Handle(message); }, *work);
      if (auto control = control_ring_.Pop())
        std::visit([this](auto& message) { Handle(message); }, *control);
    }
    ScheduleTick();
  }

  UpstreamLeader* FindLeader(const std::string& upstream) {
    const auto found = leaders_.find(upstream);
    return found == leaders_.end() ? nullptr : found->second.get();
  }

  void Handle(Submission& submission) {
    if (UpstreamLeader* const leader =
            FindLeader(submission.request.upstream)) {
      leader->Submit(submission.ticket, std::move(submission.request),
                     std::move(submission.callback));
      return;
    }
    UpstreamResult result;
    result.error = ErrorKind::kNotRunNoLease;
    submission.callback(std::move(result));
  }

  void Handle(const Cancellation& cancellation) {
    if (UpstreamLeader* const leader = FindLeader(cancellation.upstream)) {
      if (leader->Cancel(cancellation.ticket))
        in_flight_.fetch_sub(1);
    }
  }

  void Handle(const IdRequest& request) {
    UpstreamLeader* const leader = FindLeader(request.upstream);
    request.callback(leader ? leader->Issue(request.shard, request.count)
                            : IssuedIds{ErrorKind::kNotRunNoLease, {}});
  }

  void Handle(const LeaseChange& change) {
    current_leases_[change.upstream] = change.lease;
    Reconcile(change.upstream);
    if (UpstreamLeader* const leader = FindLeader(change.upstream))
      leader->SetLease(change.lease);
  }

  void Handle(const DrainShards& drain) {
    if (UpstreamLeader* const leader = FindLeader(drain.upstream)) {
      leader->Drain(drain);
      return;
    }
    // No request was ever sent to this upstream.
    listener_.OnDrainFinished(ShardDrains::MakeFinished(drain));
  }

  void Handle(const ResumeShards& resume) {
    if (UpstreamLeader* const leader = FindLeader(resume.upstream))
      leader->Resume(resume);
  }

  void Handle(const RoutingTablePointer& table) {
    table_ = table;
    for (const auto& [upstream, lease] : current_leases_)
      Reconcile(upstream);
  }

  void Handle(const MarkFingerprints& marks) {
    const BootTime now = BootClock::now();
    for (const std::uint64_t fingerprint : marks.suspects)
      quarantine_.MarkSuspect(marks.service, fingerprint, now);
    for (const std::uint64_t fingerprint : marks.quarantined)
      quarantine_.MarkQuarantined(marks.service, fingerprint, now);
    for (const auto& [upstream, leader] : leaders_) {
      leader->OnMarked(marks.suspects);
      leader->OnMarked(marks.quarantined);
    }
  }

  // Creates, updates or releases the leader of upstream `name` according to the
  // table and the lease.
  void Reconcile(const std::string& name) {
    if (!table_)
      return;
    const RoutedUpstream* const routed = table_->FindUpstream(name);
    const bool is_routed = routed && table_->FindService(routed->service);
    UpstreamLeader* const leader = FindLeader(name);
    const auto& lease = current_leases_.at(name);
    const bool is_leader = is_routed && routed->leader == options_.instance;
    if (leader) {
      if (is_routed)
        leader->SetTable(table_);
      if (!is_leader)
        leader->Release();
      return;
    }
    if (is_leader && routed->leader_fence == lease->fence) {
      leaders_[name] = std::make_unique<UpstreamLeader>(
          UpstreamLeader::Context{
              quarantine_, listener_, metrics_,
              [this] {
                return CreatePlainStream(boost::asio::ip::tcp::socket(io_));
              },
              id_prefix_, [this] { ScheduleTick(); }, options_.region},
          name, table_, lease);
    }
  }

  void ScheduleTick() {
    if (tick_scheduled_)
      return;
    const BootTime now = BootClock::now();
    bool needed = false;
    for (const auto& [name, leader] : leaders_)
      needed = needed || leader->needs_tick(now);
    if (!needed)
      return;
    tick_scheduled_ = true;
    tick_timer_.expires_after(UpstreamLeader::kTick);
    tick_timer_.async_wait([this](const boost::system::error_code& error) {
      if (error)
        return;
      tick_scheduled_ = false;
      const BootTime tick_time = BootClock::now();
      for (const auto& [name, leader] : leaders_)
        leader->Tick(tick_time);
      std::erase_if(leaders_, [](const auto& entry) {
        return entry.second->is_released();
      });
      ScheduleTick();
    });
  }

  void ScheduleReport() {
    report_timer_.expires_after(kReportInterval);
    report_timer_.async_wait([this](const boost::system::error_code& error) {
      if (error)
        return;
      Report();
      ScheduleReport();
    });
  }

  void Report() {
    const BootTime now = BootClock::now();
    LoadReported report;
    report.from = options_.instance;
    for (const auto& [name, leader] : leaders_)
      report.upstreams.push_back(leader->Report(now));
    quarantine_.RemoveExpired(now);
    if (!report.upstreams.empty())
      listener_.OnLoadReported(std::move(report));
    ScheduleTick();
  }

  const Options options_;
  UpstreamListener& listener_;
  Metrics& metrics_;
  // Constructed before and destroyed after all objects that use it.
  boost::asio::io_context io_{1};
  Quarantine quarantine_;
  BoundedRing<Work> request_ring_;
  BoundedRing<Control> control_ring_;
  std::atomic<std::uint64_t> next_ticket_ = 1;
  std::atomic<std::size_t> in_flight_ = 0;

  // Leases by upstream, for ApplyLease() on the control thread.
  std::mutex leases_mutex_;
  std::map<std::string, std::shared_ptr<SharedLease>> leases_;

  // The members below are used on the sender's thread only.
  RoutingTablePointer table_;
  std::map<std::string, std::shared_ptr<SharedLease>> current_leases_;
  std::map<std::string, std::unique_ptr<UpstreamLeader>> leaders_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer report_timer_;
  bool tick_scheduled_ = false;
  const std::string id_prefix_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard_;
  std::thread thread_;
};

std::unique_ptr<UpstreamSender> UpstreamSender::Create(
    const Options& options,
    UpstreamListener& listener,
    Metrics& metrics) {
  return std::unique_ptr<UpstreamSender>(
      new UpstreamSender(std::make_unique<Core>(options, listener, metrics)));
}

UpstreamSender::UpstreamSender(std::unique_ptr<Core> core)
    : core_(std::move(core)) {}
UpstreamSender::~UpstreamSender() = default;

std::uint64_t UpstreamSender::Submit(UpstreamRequest request,
                                     UpstreamCallback callback) {
  return core_->Submit(std::move(request), std::move(callback));
}

void UpstreamSender::Cancel(std::uint64_t ticket, const std::string& upstream) {
  core_->Cancel(ticket, upstream);
}

void UpstreamSender::Issue(std::string upstream,
                           std::optional<std::uint32_t> shard,
                           std::uint32_t count,
                           IssueCallback callback) {
  core_->Issue({std::move(upstream), shard, count, std::move(callback)});
}

void UpstreamSender::ApplyLease(const SetLease& action) {
  core_->ApplyLease(action);
}

void UpstreamSender::Drain(DrainShards action) {
  core_->PushControl(std::move(action));
}

void UpstreamSender::Resume(ResumeShards action) {
  core_->PushControl(std::move(action));
}

void UpstreamSender::SetTable(RoutingTablePointer table) {
  core_->PushControl(std::move(table));
}

void UpstreamSender::Mark(MarkFingerprints action) {
  core_->PushControl(std::move(action));
}

std::size_t UpstreamSender::requests_in_flight() const {
  return core_->in_flight();
}

}  // namespace pollenrudder
