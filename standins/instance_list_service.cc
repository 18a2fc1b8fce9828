// The instance list stand-in.

#include "standins/instance_list_service.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace pollenrudder {

namespace asio = boost::asio;
namespace json = boost::json;
namespace http = boost::beast::http;

asio::awaitable<std::optional<HttpService::Response>>
InstanceListService::Handle(const Request& request, Connection&) {
  if (Path(request) != "/v1/instances")
    co_return Empty(404);
  const std::int64_t visible = BootMilliseconds() - lag_;
  while (versions_.size() > 1 && versions_[1].since <= visible)
    versions_.pop_front();
  const std::string tag = '"' + std::to_string(versions_.front().number) + '"';
  if (request[http::field::if_none_match] == tag)
    co_return Empty(304);
  Response response(http::status::ok, request.version());
  response.set(http::field::content_type, "application/json");
  response.set(http::field::etag, tag);
  response.body() = versions_.front().text;
  co_return response;
}

HttpService::Response InstanceListService::HandleControl(
    const Request& request) {
  const json::object body = Body(request);
  const json::value* const name = body.if_contains("name");
  if (!name || !name->is_string())
    return Empty(400);
  const std::string key(name->get_string());
  if (Path(request) == "/standin/register")
    entries_[key] = body;
  else if (Path(request) == "/standin/remove")
    entries_.erase(key);
  else
    return Empty(404);
  AddVersion();
  return Json(200, json::object());
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
}

}  // namespace pollenrudder
