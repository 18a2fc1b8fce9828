// Polls the platform's instance list.

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

// Asks for the list at a fixed interval and reports each change. It sends the
// entity tag of the last answer, so that an unchanged list costs no body. Used
// on the platform thread.
class InstanceListClient {
 public:
  using Callback = std::function<void(const std::vector<ListedInstance>&)>;

  static constexpr std::chrono::milliseconds kInterval{500};
  static constexpr std::chrono::milliseconds kTimeout{400};

  InstanceListClient(const boost::asio::any_io_executor& executor,
                     boost::asio::ip::tcp::endpoint endpoint,
                     Metrics& metrics,
                     Callback changed);

  void Start();

 private:
  boost::asio::awaitable<void> PollLoop();
  boost::asio::awaitable<Result<void>> PollOnce();
  void SetAvailable(bool available, const std::string& reason);

  const boost::asio::any_io_executor executor_;
  HttpConnection connection_;
  boost::asio::steady_timer timer_;
  Metrics& metrics_;
  const Callback changed_;
  std::vector<ListedInstance> instances_;
  bool reported_once_ = false;
  std::string entity_tag_;
  bool available_ = true;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_LOGSTORE_INSTANCE_LIST_CLIENT_H_
