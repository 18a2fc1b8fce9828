// AdminServer, implemented with Boost.Beast.

#include "operators/admin_server.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <thread>
#include <utility>

#include "base/lingering_close.h"
#include "base/socket_address.h"
#include "operators/admin_handler.h"

namespace pollenrudder {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

constexpr std::chrono::seconds kIdleTimeout{30};
constexpr std::size_t kMaxHeaderBytes = std::size_t{8} * 1024;
// Further connections are closed at once.
constexpr int kMaxConnections = 64;
// Delay after a failed accept, for example when too many files are open.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

http::response<http::string_body> MakeResponse(
    const http::request<http::empty_body>& request,
    AdminHandler& handler) {
  http::response<http::string_body> response;
  response.version(request.version());
  response.keep_alive(request.keep_alive());
  if (request.method() != http::verb::get) {
    response.result(http::status::method_not_allowed);
    response.body() = "{\"error\":\"the admin port accepts GET only\"}\n";
  } else {
    const auto target = request.target();
    AdminResponse admin_response =
        handler.HandleAdminRequest({target.data(), target.size()});
    response.result(static_cast<unsigned>(admin_response.http_status));
    response.set(http::field::content_type, admin_response.content_type);
    response.body() = std::move(admin_response.body);
  }
  response.prepare_payload();
  return response;
}

// One connection of an operator or a scraper.
class Session : public std::enable_shared_from_this<Session> {
 public:
  // `count` is the number of open sessions.
  Session(tcp::socket socket, AdminHandler& handler, std::shared_ptr<int> count)
      : stream_(std::move(socket)),
        handler_(handler),
        count_(std::move(count)) {
    ++*count_;
  }
  ~Session() { --*count_; }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Read() {
    parser_.emplace();
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(0);
    stream_.expires_after(kIdleTimeout);
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code error, std::size_t) {
          if (!error)
            self->WriteResponse();
          else if (error != http::error::end_of_stream)
            self->Linger(LingeringClose::Peer::kUninformed);
        });
  }

 private:
  void WriteResponse() {
    response_ = MakeResponse(parser_->get(), handler_);
    http::async_write(
        stream_, response_,
        [self = shared_from_this()](beast::error_code error, std::size_t) {
          if (error)
            return;
          if (self->response_.keep_alive())
            self->Read();
          else
            self->Linger(LingeringClose::Peer::kInformed);
        });
  }

  // Ends the session when the client has received the last response.
  void Linger(LingeringClose::Peer client) {
    LingeringClose::Start(
        stream_.release_socket(), client,
        {.on_progress = nullptr, .on_closed = [self = shared_from_this()] {}});
  }

  beast::tcp_stream stream_;
  AdminHandler& handler_;
  const std::shared_ptr<int> count_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::empty_body>> parser_;
  http::response<http::string_body> response_;
};

}  // namespace

class AdminServer::Server {
 public:
  Server(const tcp::endpoint& endpoint, AdminHandler& handler)
      : acceptor_(context_, endpoint),
        handler_(handler),
        address_(SocketAddressText(acceptor_.local_endpoint())) {
    Accept();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~Server() {
    context_.stop();
    thread_.join();
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  const std::string& address() const { return address_; }

 private:
  void Accept() {
    acceptor_.async_accept([this](beast::error_code error, tcp::socket socket) {
      if (error) {
        retry_timer_.expires_after(kAcceptRetryDelay);
        retry_timer_.async_wait([this](beast::error_code aborted) {
          if (!aborted && acceptor_.is_open())
            Accept();
        });
        return;
      }
      if (*session_count_ < kMaxConnections) {
        std::make_shared<Session>(std::move(socket), handler_, session_count_)
            ->Read();
      }
      Accept();
    });
  }

  asio::io_context context_{1};
  // Used on the thread of the event loop.
  const std::shared_ptr<int> session_count_ = std::make_shared<int>(0);
  tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_{context_};
  AdminHandler& handler_;
  const std::string address_;
  std::thread thread_;
};

AdminServer::AdminServer(std::unique_ptr<Server> server)
    : server_(std::move(server)) {}
AdminServer::~AdminServer() = default;

Result<std::unique_ptr<AdminServer>> AdminServer::Start(
    const std::string& address,
    AdminHandler& handler) {
  BOOST_OUTCOME_TRY(const tcp::endpoint endpoint, ParseSocketAddress(address));
  try {
    return std::unique_ptr<AdminServer>(
        new AdminServer(std::make_unique<Server>(endpoint, handler)));
  } catch (const boost::system::system_error& error) {
    return MakeError(ErrorKind::kInvalidSettings,
                     "cannot listen on " + address + ": " + error.what());
  }
}

const std::string& AdminServer::address() const {
  return server_->address();
}

}  // namespace pollenrudder
