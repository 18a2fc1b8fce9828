// Distributes a new configuration from one instance of an availability zone to
// the others.

#ifndef POLLENRUDDER_ENTRY_CONFIGURATION_RELAY_H_
#define POLLENRUDDER_ENTRY_CONFIGURATION_RELAY_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/boot_clock.h"
#include "entry/http_client.h"
#include "fleet/configuration_document.h"
#include "http/http_message.h"

namespace pollenrudder {

// A configuration of a thousand routes is some hundred kilobytes. If each
// instance read it from the store, the network link between two regions would
// be saturated for seconds. One instance of each zone, the source, reads it,
// and the others fetch it from there, compressed. A RelayedUpdate announces the
// new version and its source.
//
// The receiver calls Fetch(); the source calls Serve() and HandleRequest().
class ConfigurationRelay {
 public:
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void OnConfigurationFetched(
        const ConfigurationDocument& document) = 0;
    // The version is not available from the source; read the store instead.
    virtual void OnConfigurationFetchFailed() = 0;
  };

  // The path under which a source serves its document, followed by the
  // requested version. Names on the wire and in the log say "plan" for the
  // configuration.
  static constexpr std::string_view kPath = "/plan/";

  // `observer` must outlive the relay.
  ConfigurationRelay(boost::asio::io_context& io, Observer& observer);
  ~ConfigurationRelay();

  // Requests `version` or a later one from `source`, an "ip:port", and retries
  // until the source has it. Does nothing while a fetch is in progress. A
  // version that could not be fetched before is not requested again.
  void Fetch(std::uint64_t version, const std::string& source);

  // Serves `document` for a few seconds, within which the other instances fetch
  // it.
  void Serve(std::shared_ptr<const ConfigurationDocument> document);
  // Serves the last document for a few seconds more, if there is one, because
  // other instances may read an earlier one from the store.
  void ServeAgain();
  // Returns whether a document is being served.
  bool IsServing() const { return serving_; }
  // Returns the response to a request whose path begins with kPath.
  HttpResponse HandleRequest(std::string_view path);

 private:
  void SendRequest();
  void OnResponse(HttpCallResult result, const HttpResponse& response);
  void FinishFetch();
  void FailFetch();

  boost::asio::io_context& io_;
  Observer& observer_;

  // Receiver: the last fetch. Invariant: client_ is set while fetching_ is.
  std::uint64_t version_ = 0;
  std::string source_;
  bool fetching_ = false;
  BootTime deadline_{};
  std::shared_ptr<HttpClient> client_;
  boost::asio::steady_timer retry_timer_;

  // Source: the last document. Invariant: it is set while serving_ is.
  std::shared_ptr<const ConfigurationDocument> document_;
  bool serving_ = false;
  // The compressed text of document_; empty until the first request.
  std::string compressed_;
  boost::asio::steady_timer serve_timer_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_CONFIGURATION_RELAY_H_
