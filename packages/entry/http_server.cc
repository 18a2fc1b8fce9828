// HttpServer over Boost.Asio.

#include "entry/http_server.h"

#include <algorithm>
#include <list>
#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "base/lingering_close.h"
#include "entry/socket_options.h"
#include "http/http_parser.h"

namespace pollenrudder {
namespace {

constexpr std::size_t kReadBytes = 1024;

}  // namespace

// What all connections use.
struct HttpServer::SharedState {
  Options options;
  Handler handler;
  // The open connections. Invariant: sorted by the last bytes received.
  std::list<Connection*> connections;
};

class HttpServer::Connection
    : public std::enable_shared_from_this<HttpServer::Connection> {
 public:
  Connection(boost::asio::ip::tcp::socket socket,
             std::shared_ptr<SharedState> shared)
      : socket_(std::move(socket)), shared_(std::move(shared)) {
    SetConnectionOptions(socket_);
    position_ = shared_->connections.insert(shared_->connections.end(), this);
    if (shared_->options.memory)
      charge_.emplace(shared_->options.memory);
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Read() {
    if (closed_)
      return;
    socket_.async_read_some(
        buffer_.prepare(kReadBytes),
        [self = shared_from_this()](boost::system::error_code error,
                                    std::size_t bytes) {
          if (error) {
            self->Close();
            return;
          }
          self->buffer_.commit(bytes);
          self->Parse();
        });
  }

  void Close() {
    if (closed_)
      return;
    closed_ = true;
    shared_->connections.erase(position_);
    boost::system::error_code ignored;
    socket_.close(ignored);
    if (const auto lingering = lingering_.lock())
      lingering->Close();
  }

  bool IsResponding() const {
    return !write_buffer_.empty() || !socket_.is_open();
  }

 private:
  void Parse() {
    if (closed_)
      return;
    shared_->connections.splice(shared_->connections.end(),
                                shared_->connections, position_);
    if (!parser_) {
      parser_ = std::make_unique<HttpRequestParser>(
          ParseLimits{.body_bytes = shared_->options.body_bytes},
          no_body_limit_);
    }
    const ParseStatus status = parser_->Parse(buffer_);
    if (status == ParseStatus::kNeedMore) {
      Read();
      return;
    }
    if (status != ParseStatus::kDone) {
      // The client may still be receiving earlier responses.
      Linger(LingeringClose::Peer::kUninformed);
      return;
    }
    const HttpRequest request = std::move(parser_->request());
    parser_.reset();
    shared_->handler(
        request,
        [self = shared_from_this(), head_request = request.method == "HEAD",
         close = !request.keep_alive](const HttpResponse& response) {
          self->SendResponse(response, head_request, close);
        });
  }

  void SendResponse(const HttpResponse& response,
                    bool head_request,
                    bool close) {
    if (closed_)
      return;
    write_buffer_ = FormatResponse(response, head_request, close);
    if (charge_ &&
        !charge_->TryResize(write_buffer_.size(), BootClock::now())) {
      write_buffer_ = std::string();
      Linger(LingeringClose::Peer::kUninformed);
      return;
    }
    boost::asio::async_write(
        socket_, boost::asio::buffer(write_buffer_),
        [self = shared_from_this(), close](boost::system::error_code error,
                                           std::size_t /*bytes*/) {
          self->write_buffer_ = std::string();
          if (self->charge_)
            self->charge_->Clear();
          if (error)
            self->Close();
          else if (close)
            self->Linger(LingeringClose::Peer::kInformed);
          else if (self->buffer_.size() > 0)
            self->Parse();
          else
            self->Read();
        });
  }

  void Linger(LingeringClose::Peer client) {
    if (closed_ || !socket_.is_open())
      return;
    parser_.reset();
    buffer_ = {};
    lingering_ = LingeringClose::Start(
        std::move(socket_), client,
        {.on_progress = nullptr,
         .on_closed = [self = shared_from_this()] { self->Close(); }});
  }

  boost::asio::ip::tcp::socket socket_;
  const std::shared_ptr<SharedState> shared_;
  // Valid until the connection is closed.
  std::list<Connection*>::iterator position_;
  boost::beast::flat_buffer buffer_;
  const HttpRequestParser::BodyLimit no_body_limit_;
  std::unique_ptr<HttpRequestParser> parser_;
  std::string write_buffer_;
  // The bytes of write_buffer_.
  std::optional<MemoryAccount::Charge> charge_;
  // Has the socket while the client receives the last response.
  std::weak_ptr<LingeringClose> lingering_;
  bool closed_ = false;
};

Result<std::unique_ptr<HttpServer>> HttpServer::Listen(
    boost::asio::io_context& io,
    const std::string& address,
    const Options& options,
    Handler handler) {
  std::unique_ptr<HttpServer> server(
      new HttpServer(options, std::move(handler)));
  auto acceptor = SocketAcceptor::Listen(
      io, address, options.receive_buffer_bytes,
      [server = server.get()](boost::asio::ip::tcp::socket socket) {
        server->OnAccepted(std::move(socket));
      });
  if (!acceptor)
    return acceptor.error();
  server->acceptor_ = std::move(acceptor.value());
  return server;
}

HttpServer::HttpServer(const Options& options, Handler handler)
    : shared_(std::make_shared<SharedState>(
          SharedState{options, std::move(handler), {}})) {}

HttpServer::~HttpServer() = default;

void HttpServer::OnAccepted(boost::asio::ip::tcp::socket socket) {
  auto& connections = shared_->connections;
  if (connections.size() >= shared_->options.max_connections) {
    const auto idle =
        std::ranges::find_if_not(connections, [](const Connection* connection) {
          return connection->IsResponding();
        });
    (idle != connections.end() ? *idle : connections.front())->Close();
  }
  std::make_shared<Connection>(std::move(socket), shared_)->Read();
}

}  // namespace pollenrudder
