// ConfigurationRelay: one request over HTTP, repeated until the source has the
// version.

#include "entry/configuration_relay.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/socket_address.h"
#include "entry/entry_events.h"
#include "http/deflate.h"

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;

// The source reads the store at the moment at which the others begin to ask.
constexpr milliseconds kRetryPause{80};
// After this time the store is read instead. Together with the interval of
// readings it leaves most of the time in which a version is to be in force.
constexpr milliseconds kPatience{700};
// While the document arrives it may take longer, if it goes on arriving.
constexpr milliseconds kProgressTimeout{500};
// The others ask within kPatience after news that come every second or so.
constexpr std::chrono::seconds kKeptFor{5};
// The largest document that is accepted; the store's largest record is 256 KiB
// to a few MiB.
constexpr std::size_t kMaxText = 16 << 20;
constexpr std::string_view kVersionField = "Pollenrudder-Plan-Version";
constexpr std::string_view kPositionField = "Pollenrudder-Plan-Position";

}  // namespace

ConfigurationRelay::ConfigurationRelay(boost::asio::io_context& io,
                                       Observer& observer)
    : io_(io), observer_(observer), retry_timer_(io), keep_timer_(io) {}

ConfigurationRelay::~ConfigurationRelay() {
  if (link_)
    link_->Abort();
}

void ConfigurationRelay::Fetch(std::uint64_t version,
                               const std::string& source) {
  if (fetching_)
    return;
  if (version <= version_) {
    observer_.OnConfigurationFetchFailed();
    return;
  }
  version_ = version;
  source_ = source;
  fetching_ = true;
  give_up_at_ = BootClock::now() + kPatience;
  Ask();
}

void ConfigurationRelay::Ask() {
  const BootTime now = BootClock::now();
  if (now >= give_up_at_) {
    GiveUp();
    return;
  }
  // The source may have closed it since the last answer.
  if (link_ && !link_->IsReusable()) {
    link_->Abort();
    link_.reset();
  }
  if (!link_)
    link_ = HttpClient::Create(io_, EndpointOf(source_));
  HttpRequest request;
  request.method = "GET";
  request.target = std::string(kPath) + std::to_string(version_);
  AppendHeader(request.header_lines, "Host", source_);
  HttpClient::CallOptions options;
  options.timeout = give_up_at_ - now;
  options.connect_timeout = options.timeout;
  options.progress_timeout = kProgressTimeout;
  options.body_limit = kMaxText;
  link_->Call(FormatRequest(request, {}), std::move(options),
              [this](HttpCallResult result, HttpResponse& response) {
                OnAnswer(result, response);
              });
}

void ConfigurationRelay::OnAnswer(HttpCallResult result,
                                  const HttpResponse& response) {
  if (result != HttpCallResult::kAnswered) {
    GiveUp();
    return;
  }
  if (response.status != 200) {
    retry_timer_.expires_after(kRetryPause);
    retry_timer_.async_wait([this](boost::system::error_code error) {
      if (!error)
        Ask();
    });
    return;
  }
  // Fields of the Pollenrudder- family are kept apart from the others.
  const auto field = [&](std::string_view name) {
    const auto value = FindHeader(response.control_lines, name);
    return value ? ParseNumber(*value) : std::nullopt;
  };
  const auto version = field(kVersionField);
  const auto position = field(kPositionField);
  auto text = Inflate(response.body, kMaxText);
  if (!version || !position || !text) {
    GiveUp();
    return;
  }
  EndFetch();
  observer_.OnConfigurationFetched({*version, *position, std::move(*text)});
}

void ConfigurationRelay::EndFetch() {
  fetching_ = false;
  link_->Abort();
  link_.reset();
}

void ConfigurationRelay::GiveUp() {
  EventLog::Write(kConfigurationNotFetched,
                  {{"plan", version_}, {"source", source_}});
  EndFetch();
  observer_.OnConfigurationFetchFailed();
}

void ConfigurationRelay::Serve(
    std::shared_ptr<const ConfigurationDocument> document) {
  document_ = std::move(document);
  compressed_.clear();
  keep_timer_.expires_after(kKeptFor);
  keep_timer_.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    document_.reset();
    compressed_.clear();
    compressed_.shrink_to_fit();
  });
}

HttpResponse ConfigurationRelay::HandleRequest(std::string_view path) {
  path.remove_prefix(std::min(path.size(), kPath.size()));
  const auto version = ParseNumber(path);
  HttpResponse response;
  if (!version || !document_ || document_->version < *version) {
    response.status = 503;
    return response;
  }
  if (compressed_.empty())
    compressed_ = Deflate(document_->text);
  response.status = 200;
  AppendHeader(response.header_lines, kVersionField, document_->version);
  AppendHeader(response.header_lines, kPositionField, document_->position);
  response.body = compressed_;
  return response;
}

}  // namespace pollenrudder
