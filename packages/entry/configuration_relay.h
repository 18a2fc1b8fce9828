// Passes a new configuration from one instance of an availability zone to the
// others.

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

// A configuration of a thousand routes is some hundred kilobytes: if each
// instance reads it from the store, the link between two regions is full for
// seconds. One instance of each zone, the source, reads it; the others fetch
// it from there, compressed. UpdateRelay tells of a new version and its source.
//
// Receiver: Fetch(). Source: Keep() and Answer().
class ConfigurationRelay {
 public:
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void OnConfigurationFetched(
        const ConfigurationDocument& document) = 0;
    // The version cannot be had from the source: read the store instead.
    virtual void OnConfigurationFetchFailed() = 0;
  };

  // The path under which a source serves its document; the version that is
  // asked for follows.
  static constexpr std::string_view kPath = "/plan/";

  // `observer` must outlive the relay.
  ConfigurationRelay(boost::asio::io_context& io, Observer& observer);
  ~ConfigurationRelay();

  // Asks `source`, an "ip:port", for `version` or a later one, until it has
  // read it. Does nothing while a version is being fetched; a version that
  // could not be fetched before is not asked for again.
  void Fetch(std::uint64_t version, const std::string& source);

  // Serves `document` for a few seconds; others fetch it within that time.
  void Serve(std::shared_ptr<const ConfigurationDocument> document);
  // Whether a document came so recently that others may want it.
  bool IsServing() const { return document_ != nullptr; }
  // Answers a request for a path that begins with kPath.
  HttpResponse HandleRequest(std::string_view path);

 private:
  void Ask();
  void OnAnswer(HttpCallResult result, const HttpResponse& response);
  void EndFetch();
  void GiveUp();

  boost::asio::io_context& io_;
  Observer& observer_;

  // Receiver: what was asked for last. Invariant: link_ is set while fetching_
  // is.
  std::uint64_t version_ = 0;
  std::string source_;
  bool fetching_ = false;
  BootTime give_up_at_{};
  std::shared_ptr<HttpClient> link_;
  boost::asio::steady_timer retry_timer_;

  // Source.
  std::shared_ptr<const ConfigurationDocument> document_;
  // The text of document_, compressed; empty until somebody asks.
  std::string compressed_;
  boost::asio::steady_timer keep_timer_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_CONFIGURATION_RELAY_H_
