// Encodes and decodes JSON-RPC 2.0 messages with libjsonrpccpp, without
// exposing its types.

#ifndef POLLENRUDDER_PEERS_JSON_RPC_CODEC_H_
#define POLLENRUDDER_PEERS_JSON_RPC_CODEC_H_

#include <memory>
#include <string>
#include <vector>

namespace pollenrudder {

// Client side: builds requests and parses responses with the Client class of
// the library. Its connector is replaced by one that only records the message,
// so the caller sends it over its own connection. Not thread-safe.
//
// This header is valid C++14: the headers of the library use exception
// specifications that C++17 removed, so the implementation is compiled as
// C++14.
class JsonRpcClientCodec {
 public:
  struct Response {
    bool ok = false;
    // On success the result as JSON text, otherwise the reason of the failure.
    std::string result;
    std::string error;
  };

  JsonRpcClientCodec();
  ~JsonRpcClientCodec();
  JsonRpcClientCodec(const JsonRpcClientCodec&) = delete;
  JsonRpcClientCodec& operator=(const JsonRpcClientCodec&) = delete;

  // Returns the request of a call, without a line end; empty if `params` is not
  // a JSON object.
  std::string EncodeCall(const std::string& method, const std::string& params);

  // Parses the response to a call. The library uses the same id for all calls,
  // so a connection must carry one call at a time.
  Response DecodeResponse(const std::string& message);

 private:
  struct State;

  const std::unique_ptr<State> state_;
};

// Server side: validates requests with the AbstractServer class of the library.
// A result may be available only later, so the response is built in two steps:
// Accept() validates the request, and Complete() or Fail() builds the response
// from the same request and the result. Not thread-safe.
class JsonRpcServerCodec {
 public:
  struct Call {
    // False if the request is not valid; `response` is then sent as it is.
    bool accepted = false;
    std::string method;
    // The parameters as JSON text.
    std::string params;
    // Empty for a notification, which gets no response.
    std::string response;
  };

  explicit JsonRpcServerCodec(const std::vector<std::string>& methods);
  ~JsonRpcServerCodec();
  JsonRpcServerCodec(const JsonRpcServerCodec&) = delete;
  JsonRpcServerCodec& operator=(const JsonRpcServerCodec&) = delete;

  Call Accept(const std::string& message);
  // `result` is JSON text.
  std::string Complete(const std::string& message, const std::string& result);
  // Builds the error response to a request that failed after Accept().
  std::string Fail(const std::string& message, const std::string& reason);

 private:
  struct State;

  const std::unique_ptr<State> state_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_PEERS_JSON_RPC_CODEC_H_
