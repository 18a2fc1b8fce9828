// ConfigurationRelay: one HTTP request, retried until the source has the
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

// Delay between requests while the source does not have the version yet. The
// source reads the store while the others send their first requests.
constexpr milliseconds kRetryDelay{80};
// After this time the store is read instead. Together with the interval of the
// reads it leaves most of the time within which a version must be applied.
constexpr milliseconds kFetchTimeout{700};
// An arriving document may take longer than kFetchTimeout, as long as more
// bytes arrive within this time.
constexpr milliseconds kProgressTimeout{500};
// Time for which a source serves a document. The other instances send requests
// until kFetchTimeout after an update, and updates are sent about every second.
constexpr std::chrono::seconds kServeDuration{5};
// The largest document that is accepted. The store's largest record is 256 KiB
// to a few MiB.
constexpr std::size_t kMaxDocumentBytes = 16 << 20;
constexpr std::string_view kVersionHeader = "Pollenrudder-Plan-Version";
constexpr std::string_view kPositionHeader = "Pollenrudder-Plan-Position";

}  // namespace

ConfigurationRelay::ConfigurationRelay(boost::asio::io_context& io,
                                       Observer& observer)
    : io_(io), observer_(observer), retry_timer_(io), serve_timer_(io) {}

ConfigurationRelay::~ConfigurationRelay() {
  if (client_)
    client_->Abort();
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
  deadline_ = BootClock::now() + kFetchTimeout;
  SendRequest();
}

void ConfigurationRelay::SendRequest() {
  const BootTime now = BootClock::now();
  if (now >= deadline_) {
    FailFetch();
    return;
  }
  // The source may have closed the connection since the last response.
  if (client_ && !client_->IsReusable()) {
    client_->Abort();
    client_.reset();
  }
  if (!client_)
    client_ = HttpClient::Create(io_, EndpointOf(source_));
  HttpRequest request;
  request.method = "GET";
  request.target = std::string(kPath) + std::to_string(version_);
  AppendHeader(request.header_lines, "Host", source_);
  HttpClient::CallOptions options;
  options.timeout = deadline_ - now;
  options.connect_timeout = options.timeout;
  options.progress_timeout = kProgressTimeout;
  options.body_limit = kMaxDocumentBytes;
  client_->Call(FormatRequest(request, {}), std::move(options),
                [this](HttpCallResult result, HttpResponse& response) {
                  OnResponse(result, response);
                });
}

void ConfigurationRelay::OnResponse(HttpCallResult result,
                                    const HttpResponse& response) {
  if (result != HttpCallResult::kAnswered) {
    FailFetch();
    return;
  }
  if (response.status != 200) {
    retry_timer_.expires_after(kRetryDelay);
    retry_timer_.async_wait([this](boost::system::error_code error) {
      if (!error)
        SendRequest();
    });
    return;
  }
  // The HTTP parser stores Pollenrudder- fields separately from the others.
  const auto header_number = [&](std::string_view name) {
    const auto value = FindHeader(response.control_lines, name);
    return value ? ParseNumber(*value) : std::nullopt;
  };
  const auto version = header_number(kVersionHeader);
  const auto position = header_number(kPositionHeader);
  auto text = Inflate(response.body, kMaxDocumentBytes);
  if (!version || !position || !text) {
    FailFetch();
    return;
  }
  FinishFetch();
  observer_.OnConfigurationFetched({*version, *position, std::move(*text)});
}

void ConfigurationRelay::FinishFetch() {
  fetching_ = false;
  client_->Abort();
  client_.reset();
}

void ConfigurationRelay::FailFetch() {
  EventLog::Write(kConfigurationNotFetched,
                  {{"plan", version_}, {"source", source_}});
  FinishFetch();
  observer_.OnConfigurationFetchFailed();
}

void ConfigurationRelay::Serve(
    std::shared_ptr<const ConfigurationDocument> document) {
  document_ = std::move(document);
  compressed_.clear();
  ServeAgain();
}

void ConfigurationRelay::ServeAgain() {
  if (!document_)
    return;
  serving_ = true;
  serve_timer_.expires_after(kServeDuration);
  serve_timer_.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    serving_ = false;
    compressed_.clear();
    compressed_.shrink_to_fit();
  });
}

HttpResponse ConfigurationRelay::HandleRequest(std::string_view path) {
  path.remove_prefix(std::min(path.size(), kPath.size()));
  const auto version = ParseNumber(path);
  HttpResponse response;
  if (!version || !serving_ || document_->version < *version) {
    response.status = 503;
    return response;
  }
  if (compressed_.empty())
    compressed_ = Deflate(document_->text);
  response.status = 200;
  AppendHeader(response.header_lines, kVersionHeader, document_->version);
  AppendHeader(response.header_lines, kPositionHeader, document_->position);
  response.body = compressed_;
  return response;
}

}  // namespace pollenrudder
