// Polls the instance list of the platform.

#ifndef POLLENRUDDER_LOGSTORE_INSTANCE_LIST_CLIENT_H_
#define POLLENRUDDER_LOGSTORE_INSTANCE_LIST_CLIENT_H_

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/metrics.h"
#include "logstore/http_connection.h"
#include "ownership/listed_instance.h"

namespace pollenrudder {

// Requests the list at a fixed interval and calls the callback for each change.
// Requests contain the entity tag of the last response, so that the response
// for an unchanged list has no body. Used on the logstore thread only.
class InstanceListClient {
 public:
  using Callback = std::function<void(const std::vector<ListedInstance>&)>;

  static constexpr std::chrono::milliseconds kInterval{500};
  static constexpr std::chrono::milliseconds kTimeout{400};

  InstanceListClient(const boost::asio::any_io_executor& executor,
                     boost::asio::ip::tcp::endpoint endpoint,
                     Metrics& metrics,
                     Callback on_change);

  void Start();

 private:
  boost::asio::awaitable<void> PollLoop();
  boost::asio::awaitable<Result<void>> PollOnce();
  void CountMalformedEntries(std::size_t count);
  void SetAvailable(bool available, const std::string& reason);

  const boost::asio::any_io_executor executor_;
  HttpConnection connection_;
  boost::asio::steady_timer timer_;
  Metrics& metrics_;
  const Callback on_change_;
  std::vector<ListedInstance> instances_;
  bool has_reported_ = false;
  // In the last list that was read.
  std::size_t malformed_entries_ = 0;
  std::string entity_tag_;
  bool available_ = true;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_LOGSTORE_INSTANCE_LIST_CLIENT_H_
