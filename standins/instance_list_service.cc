// Versions of the instance list, and address substitution per listener.

#include "standins/instance_list_service.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace pollenrudder {

namespace asio = boost::asio;
namespace json = boost::json;
namespace http = boost::beast::http;

asio::awaitable<std::optional<HttpService::Response>>
InstanceListService::Handle(const Request& request, Connection& connection) {
  if (RequestPath(request) != "/v1/instances")
    co_return EmptyResponse(404);
  const std::int64_t visible_at = BootMilliseconds() - lag_;
  while (versions_.size() > 1 && versions_[1].valid_from <= visible_at)
    versions_.pop_front();
  const std::string tag = '"' + std::to_string(versions_.front().number) + '-' +
                          std::to_string(view_number_) + '"';
  if (request[http::field::if_none_match] == tag)
    co_return EmptyResponse(304);
  Response response(http::status::ok, request.version());
  response.set(http::field::content_type, "application/json");
  response.set(http::field::etag, tag);
  response.body() = ListTextFor(connection.listener);
  co_return response;
}

HttpService::Response InstanceListService::HandleControl(
    const Request& request) {
  const json::object body = JsonBody(request);
  const json::value* const name = body.if_contains("name");
  if (!name || !name->is_string())
    return EmptyResponse(400);
  const std::string key(name->get_string());
  if (RequestPath(request) == "/standin/register")
    entries_[key] = body;
  else if (RequestPath(request) == "/standin/remove")
    entries_.erase(key);
  else
    return EmptyResponse(404);
  AddVersion();
  return JsonResponse(200, json::object());
}

std::string InstanceListService::ListTextFor(
    const std::string& listener) const {
  std::string text = versions_.front().text;
  const auto view = views_.find(listener);
  if (view == views_.end())
    return text;
  for (const auto& [registered, shown] : view->second) {
    const std::string quoted = '"' + registered + '"';
    for (auto position = text.find(quoted); position != std::string::npos;
         position = text.find(quoted, position + 1))
      text.replace(position, quoted.size(), '"' + shown + '"');
  }
  return text;
}

void InstanceListService::AddVersion() {
  json::array instances;
  for (const auto& [name, entry] : entries_)
    instances.push_back(entry);
  versions_.push_back(
      {BootMilliseconds(), versions_.back().number + 1,
       json::serialize(json::object{{"instances", std::move(instances)}})});
}

void InstanceListService::ApplySettings(const json::object& settings) {
  HttpService::ApplySettings(settings);
  if (const json::value* const value = settings.if_contains("lag_ms"))
    lag_ = value->to_number<std::int64_t>();
  if (const json::value* const value = settings.if_contains("views")) {
    ++view_number_;
    for (const auto& [listener, addresses] : value->as_object()) {
      for (const auto& [registered, shown] : addresses.as_object())
        views_[listener][registered] = shown.as_string();
    }
  }
}

}  // namespace pollenrudder
