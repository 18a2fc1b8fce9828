// Implementation of the codec classes over libjsonrpccpp 0.7. Compiled as
// C++14.

#include "peers/json_rpc_codec.h"

#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

#include <stdexcept>
#include <utility>

namespace pollenrudder {
namespace {

// The parser of the library throws if a text is nested deeper than its stack
// limit, and its callers then end the process. The messages of this project
// have at most 6 levels.
constexpr int kMaxDepth = 16;

// Error codes of the JSON-RPC specification.
constexpr int kParseError = -32700;
constexpr int kServerError = -32000;

bool NestsTooDeep(const std::string& text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t index = 0; index < text.size(); ++index) {
    const char character = text[index];
    if (in_string) {
      if (character == '\\')
        ++index;
      else if (character == '"')
        in_string = false;
    } else if (character == '"') {
      in_string = true;
    } else if (character == '[' || character == '{') {
      if (++depth > kMaxDepth)
        return true;
    } else if (character == ']' || character == '}') {
      --depth;
    }
  }
  return false;
}

std::string WriteJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

bool ReadJson(const std::string& text, Json::Value& value) {
  if (NestsTooDeep(text))
    return false;
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  std::string errors;
  return reader->parse(text.data(), text.data() + text.size(), &value, &errors);
}

void StripLineEnd(std::string& text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r'))
    text.pop_back();
}

std::string ErrorMessage(int code, const char* message) {
  Json::Value response;
  response["jsonrpc"] = "2.0";
  response["id"] = Json::Value::null;
  response["error"]["code"] = code;
  response["error"]["message"] = message;
  return WriteJson(response);
}

// Records the message of a call instead of sending it, and returns the stored
// `response`.
class RecordingConnector : public jsonrpc::IClientConnector {
 public:
  void SendRPCMessage(const std::string& message, std::string& result) throw(
      jsonrpc::JsonRpcException) override {
    sent = message;
    result = response;
  }

  std::string sent;
  std::string response;
};

class UnusedServerConnector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string&, void*) override { return true; }
};

class Dispatcher : public jsonrpc::AbstractServer<Dispatcher> {
 public:
  Dispatcher(jsonrpc::AbstractServerConnector& connector,
             const std::vector<std::string>& methods)
      : jsonrpc::AbstractServer<Dispatcher>(connector,
                                            jsonrpc::JSONRPC_SERVER_V2) {
    for (const std::string& method : methods) {
      bindAndAddMethod(jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME,
                                          jsonrpc::JSON_OBJECT, nullptr),
                       &Dispatcher::Handle);
    }
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure,
                        const Json::Value& input,
                        Json::Value& output) override {
    called = true;
    method = procedure.GetProcedureName();
    params = input;
    if (!failure.empty())
      throw jsonrpc::JsonRpcException(kServerError, failure);
    output = result;
  }

  void Handle(const Json::Value&, Json::Value&) {}

  bool called = false;
  std::string method;
  Json::Value params;
  Json::Value result;
  std::string failure;
};

}  // namespace

struct JsonRpcClientCodec::State {
  RecordingConnector connector;
  jsonrpc::Client client{connector};
};

JsonRpcClientCodec::JsonRpcClientCodec() : state_(new State()) {}
JsonRpcClientCodec::~JsonRpcClientCodec() = default;

std::string JsonRpcClientCodec::EncodeCall(const std::string& method,
                                           const std::string& params) {
  Json::Value value;
  if (!ReadJson(params, value) || !value.isObject())
    return {};
  state_->connector.response = "{\"id\":1,\"jsonrpc\":\"2.0\",\"result\":null}";
  Json::Value ignored;
  try {
    state_->client.CallMethod(method, value, ignored);
  } catch (const std::exception&) {
    return {};
  }
  std::string message = std::move(state_->connector.sent);
  StripLineEnd(message);
  return message;
}

JsonRpcClientCodec::Response JsonRpcClientCodec::DecodeResponse(
    const std::string& message) {
  Response response;
  if (NestsTooDeep(message)) {
    response.error = "the response is nested too deeply";
    return response;
  }
  state_->connector.response = message;
  try {
    Json::Value result;
    state_->client.CallMethod("answer", Json::Value(Json::objectValue), result);
    response.ok = true;
    response.result = WriteJson(result);
  } catch (const std::exception& error) {
    response.error = error.what();
  }
  return response;
}

struct JsonRpcServerCodec::State {
  explicit State(const std::vector<std::string>& methods)
      : dispatcher(connector, methods) {}

  std::string Handle(const std::string& message) {
    dispatcher.called = false;
    if (NestsTooDeep(message))
      return ErrorMessage(kParseError, "the message nests too deep");
    std::string response;
    try {
      connector.GetHandler()->HandleRequest(message, response);
    } catch (const std::exception& error) {
      dispatcher.called = false;
      return ErrorMessage(kParseError, error.what());
    }
    StripLineEnd(response);
    return response;
  }

  UnusedServerConnector connector;
  Dispatcher dispatcher;
};

JsonRpcServerCodec::JsonRpcServerCodec(const std::vector<std::string>& methods)
    : state_(new State(methods)) {}
JsonRpcServerCodec::~JsonRpcServerCodec() = default;

JsonRpcServerCodec::Call JsonRpcServerCodec::Accept(
    const std::string& message) {
  Call call;
  state_->dispatcher.result = Json::Value(Json::objectValue);
  state_->dispatcher.failure.clear();
  call.response = state_->Handle(message);
  // Batches are refused, because their calls cannot be completed one by one.
  const auto first = message.find_first_not_of(" \t");
  if (first != std::string::npos && message[first] == '[') {
    call.response = ErrorMessage(kParseError, "batches are not supported");
    return call;
  }
  call.accepted = state_->dispatcher.called;
  if (call.accepted) {
    call.method = state_->dispatcher.method;
    call.params = WriteJson(state_->dispatcher.params);
  }
  return call;
}

std::string JsonRpcServerCodec::Complete(const std::string& message,
                                         const std::string& result) {
  state_->dispatcher.failure.clear();
  if (!ReadJson(result, state_->dispatcher.result))
    return ErrorMessage(kServerError, "the result is not JSON");
  return state_->Handle(message);
}

std::string JsonRpcServerCodec::Fail(const std::string& message,
                                     const std::string& reason) {
  state_->dispatcher.failure = reason;
  return state_->Handle(message);
}

}  // namespace pollenrudder
