// JSON-RPC 2.0 messages by libjsonrpccpp, behind plain types.

#ifndef POLLENRUDDER_PEERS_JSON_RPC_CODEC_H_
#define POLLENRUDDER_PEERS_JSON_RPC_CODEC_H_

#include <memory>
#include <string>
#include <vector>

namespace pollenrudder {

// Builds requests and reads answers with the library's Client, whose connector
// is replaced by one that only records the message. Not thread-safe.
//
// This header is valid C++14: the library's headers use exception
// specifications that C++17 removed, so its user is compiled as C++14.
class JsonRpcClientCodec {
 public:
  struct Response {
    bool ok = false;
    // The result as JSON text, or the reason of a failure.
    std::string result;
    std::string error;
  };

  JsonRpcClientCodec();
  ~JsonRpcClientCodec();
  JsonRpcClientCodec(const JsonRpcClientCodec&) = delete;
  JsonRpcClientCodec& operator=(const JsonRpcClientCodec&) = delete;

  // Returns the message of a call, without a line end; empty if `params` is
  // not a JSON object.
  std::string EncodeCall(const std::string& method, const std::string& params);

  // Reads the answer to a call. The library gives all calls the same id, so a
  // connection carries one call at a time.
  Response DecodeResponse(const std::string& message);

 private:
  struct State;

  const std::unique_ptr<State> state_;
};

// Checks and dispatches requests with the library's AbstractServer. An answer
// that is not known at once is built in two steps: Accept() checks the request,
// and Complete() builds the answer from the same request and the result.
// Not thread-safe.
class JsonRpcServerCodec {
 public:
  struct Call {
    // False if `answer` is to be sent as it is: the request is not valid.
    bool accepted = false;
    std::string method;
    // The parameters as JSON text.
    std::string params;
    // Empty for a notification, which gets no answer.
    std::string response;
  };

  explicit JsonRpcServerCodec(const std::vector<std::string>& methods);
  ~JsonRpcServerCodec();
  JsonRpcServerCodec(const JsonRpcServerCodec&) = delete;
  JsonRpcServerCodec& operator=(const JsonRpcServerCodec&) = delete;

  Call Accept(const std::string& message);
  // `result` is JSON text.
  std::string Complete(const std::string& message, const std::string& result);
  // Builds the answer of a call that failed after Accept().
  std::string Fail(const std::string& message, const std::string& reason);

 private:
  struct State;

  const std::unique_ptr<State> state_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_PEERS_JSON_RPC_CODEC_H_
