// CrashGuard: evidence, quarantine, and the messages about both.

#include "entry/crash_guard.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "entry/duration_text.h"
#include "entry/entry_events.h"

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// The scope of all marks.
constexpr std::string_view kAllServices;
// A report is sent this many times, with this pause between.
constexpr int kReportSends = 3;
constexpr milliseconds kReportInterval{150};
// More reports than these are not sent: a mass loss of upstreams says little
// about single requests.
constexpr std::size_t kMaxPendingReports = 256;
// How many requests a second all instances together may send that probably
// crashed two upstreams, and how long a permit stays valid: the caller of such
// a request repeats it after some tenths of a second.
constexpr double kTrialsPerSecond = 2;
constexpr std::chrono::seconds kTrialLifetime{1};
// When the caller of a request that is held back may repeat it. By then, it is
// mostly cleared or identified.
constexpr std::chrono::seconds kHoldRetryAfter{2};
// A quarantine that another instance knows to last longer by less than this is
// the same one.
constexpr std::chrono::seconds kSameQuarantine{5};

QuarantineMessage MessageOf(std::uint64_t fingerprint, nanoseconds remaining) {
  return {{{fingerprint, std::chrono::duration_cast<milliseconds>(remaining)}}};
}

}  // namespace

CrashGuard::CrashGuard(boost::asio::io_context& io,
                       Metrics& metrics,
                       Sender& sender)
    : metrics_(metrics),
      sender_(sender),
      detector_(io,
                [this](const ListedUpstream& upstream,
                       const CrashDetector::LostRequest& request) {
                  OnCrash(upstream, request);
                }),
      quarantine_({}),
      random_(std::random_device()()),
      decision_timer_(io),
      report_timer_(io) {}

std::optional<nanoseconds> CrashGuard::QuarantineLeft(std::uint64_t fingerprint,
                                                      BootTime now) const {
  const auto until =
      quarantine_.QuarantinedUntil(kAllServices, fingerprint, now);
  if (!until)
    return std::nullopt;
  return *until - now;
}

std::optional<nanoseconds> CrashGuard::HoldLeft(std::uint64_t fingerprint,
                                                BootTime now) {
  if (!ledger_.IsSuspect(fingerprint)) {
    holds_.erase(fingerprint);
    return std::nullopt;
  }
  const auto [hold, is_new] = holds_.try_emplace(
      fingerprint, ColdRateLimiter(kTrialsPerSecond, kTrialLifetime));
  if (is_new) {
    hold->second.Start(now + CrashLedger::kCrashRetention, instances_,
                       std::uniform_real_distribution<double>(0, 1)(random_),
                       now);
    EventLog::Write(kRequestHeld,
                    {{"fingerprint", fingerprint}, {"instances", instances_}});
  }
  if (now >= hold->second.NextPermit(now))
    return std::nullopt;
  return kHoldRetryAfter;
}

void CrashGuard::OnSent(std::uint64_t fingerprint, BootTime now) {
  const auto hold = holds_.find(fingerprint);
  if (hold != holds_.end())
    hold->second.OnSent(now);
}

bool CrashGuard::IsSuspect(std::uint64_t fingerprint, BootTime now) const {
  return ledger_.Contains(fingerprint) ||
         quarantine_.Check(kAllServices, fingerprint, now) !=
             Quarantine::Mark::kNone;
}

void CrashGuard::OnConnectionLost(const ListedUpstream& upstream,
                                  CrashDetector::LostRequest request) {
  detector_.OnConnectionLost(upstream, std::move(request));
}

void CrashGuard::OnCrash(const ListedUpstream& upstream,
                         const CrashDetector::LostRequest& request) {
  metrics_.Count("entry_requests_at_crashes_total",
                 "service=\"" + upstream.service + '"');
  EventLog::WriteLazily(kRequestAtCrash, [&] {
    return std::vector<LogField>{
        {"upstream", upstream.name},
        {"service", upstream.service},
        {"request", request.request_id},
        {"fingerprint", request.fingerprint},
        {"ran_ms", Milliseconds(request.lost_at - request.sent_at)}};
  });
  const BootTime now = BootClock::now();
  const CrashReport report{request.fingerprint,
                           {upstream.name, upstream.started_at},
                           request.sent_at,
                           request.lost_at};
  RecordCrash(report, now);
  if (reports_.size() < kMaxPendingReports)
    reports_.push_back({report, kReportSends});
  Decide(now);
  ScheduleReports();
}

void CrashGuard::RecordCrash(const CrashReport& report, BootTime now) {
  // The first crash after a quarantine shows that its cause is still there.
  if (quarantine_.Check(kAllServices, report.fingerprint, now) ==
      Quarantine::Mark::kSuspect) {
    StartQuarantine(report.fingerprint, Quarantine::Options().lifetime, now);
    sender_.SendQuarantine(
        MessageOf(report.fingerprint, Quarantine::Options().lifetime));
  }
  ledger_.RecordCrash(report, now);
}

void CrashGuard::OnResponse(std::uint64_t fingerprint, BootTime now) {
  if (!RecordResponse(fingerprint, now))
    return;
  if (answered_.size() < kMaxPendingReports)
    answered_.push_back({fingerprint, kReportSends});
  ScheduleReports();
}

bool CrashGuard::RecordResponse(std::uint64_t fingerprint, BootTime now) {
  const bool was_quarantined =
      quarantine_.RecordResponse(kAllServices, fingerprint, now);
  if (was_quarantined) {
    EventLog::Write(kQuarantineRefuted, {{"fingerprint", fingerprint}});
    std::erase(quarantined_, fingerprint);
  }
  return ledger_.RecordResponse(fingerprint) || was_quarantined;
}

void CrashGuard::OnCrashMessage(const CrashMessage& message, BootTime now) {
  for (const CrashReport& report : message.reports)
    RecordCrash(report, now);
  for (const std::uint64_t fingerprint : message.answered)
    RecordResponse(fingerprint, now);
  Decide(now);
}

bool CrashGuard::StartQuarantine(std::uint64_t fingerprint,
                                 nanoseconds duration,
                                 BootTime now) {
  const auto left = QuarantineLeft(fingerprint, now);
  if (left && duration < *left + kSameQuarantine)
    return false;
  holds_.erase(fingerprint);
  std::erase_if(quarantined_, [&](std::uint64_t known) {
    return known == fingerprint || !QuarantineLeft(known, now);
  });
  if (quarantined_.size() >= kMaxQuarantined)
    quarantined_.erase(quarantined_.begin());
  quarantined_.push_back(fingerprint);
  quarantine_.RemoveExpired(now);
  // A quarantine lasts for a fixed time from its start.
  const nanoseconds lifetime = Quarantine::Options().lifetime;
  quarantine_.MarkQuarantined(kAllServices, fingerprint,
                              now - (lifetime - std::min(duration, lifetime)));
  ledger_.SetCause(fingerprint, now);
  metrics_.Count("entry_quarantines_total");
  EventLog::Write(
      kRequestQuarantined,
      {{"fingerprint", fingerprint}, {"duration_ms", Milliseconds(duration)}});
  return true;
}

void CrashGuard::Decide(BootTime now) {
  for (const std::uint64_t fingerprint : ledger_.TakeCauses(now)) {
    const nanoseconds lifetime = Quarantine::Options().lifetime;
    if (StartQuarantine(fingerprint, lifetime, now))
      sender_.SendQuarantine(MessageOf(fingerprint, lifetime));
  }
  const auto next = ledger_.NextDecision();
  if (!next)
    return;
  decision_timer_.expires_after(*next - now);
  decision_timer_.async_wait([this](boost::system::error_code error) {
    if (!error)
      Decide(BootClock::now());
  });
}

void CrashGuard::ScheduleReports() {
  if (report_pending_)
    return;
  SendReports();
}

void CrashGuard::SendReports() {
  CrashMessage message;
  for (auto& report : reports_) {
    message.reports.push_back(report.content);
    --report.sends_left;
  }
  for (auto& answered : answered_) {
    message.answered.push_back(answered.content);
    --answered.sends_left;
  }
  std::erase_if(reports_,
                [](const auto& report) { return report.sends_left == 0; });
  std::erase_if(answered_,
                [](const auto& answered) { return answered.sends_left == 0; });
  if (message.IsEmpty())
    return;
  sender_.SendCrashMessage(message);
  report_pending_ = true;
  report_timer_.expires_after(kReportInterval);
  report_timer_.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    report_pending_ = false;
    SendReports();
  });
}

void CrashGuard::OnQuarantineMessage(const QuarantineMessage& message,
                                     BootTime now) {
  for (const QuarantineMessage::Entry& entry : message.entries)
    StartQuarantine(entry.fingerprint, entry.remaining, now);
}

QuarantineMessage CrashGuard::MakeQuarantineMessage(BootTime now) const {
  QuarantineMessage message;
  for (const std::uint64_t fingerprint : quarantined_) {
    if (const auto left = QuarantineLeft(fingerprint, now)) {
      message.entries.push_back(
          {fingerprint, std::chrono::duration_cast<milliseconds>(*left)});
    }
  }
  return message;
}

}  // namespace pollenrudder
