// Store: a thread for each connection.

#include "store.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <set>
#include <thread>
#include <utility>

#include <boost/json.hpp>

namespace review {
namespace {

namespace json = boost::json;

constexpr std::chrono::seconds kIdleTimeout{60};
constexpr int kPartitions = 12;
constexpr std::size_t kPageItems = 500;

std::string Response(int status, const std::string& body, bool is_json) {
  return "HTTP/1.1 " + std::to_string(status) + " -\r\nContent-Type: " +
         (is_json ? "application/json" : "application/octet-stream") +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string Text(const json::value& value) {
  const json::string& text = value.as_string();
  return {text.data(), text.size()};
}

std::string Base64(std::string_view bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t group = 0;
    for (std::size_t index = at; index < at + 3; ++index) {
      group = (group << 8) |
              (index < bytes.size() ? static_cast<unsigned char>(bytes[index])
                                    : 0U);
    }
    for (std::size_t digit = 0; digit < 4; ++digit) {
      text += at + digit <= bytes.size()
                  ? kDigits[(group >> (18 - 6 * digit)) & 63]
                  : '=';
    }
  }
  return text;
}

void AppendBigEndian(std::string& bytes, std::uint64_t number, int size) {
  for (int shift = 8 * (size - 1); shift >= 0; shift -= 8)
    bytes += static_cast<char>((number >> shift) & 255);
}

std::string Decode(std::string_view text) {
  std::string decoded;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      decoded += static_cast<char>(std::strtol(
          std::string(text.substr(at + 1, 2)).c_str(), nullptr, 16));
      at += 2;
    } else {
      decoded += text[at];
    }
  }
  return decoded;
}

std::map<std::string, std::string> ParseQuery(std::string_view text) {
  std::map<std::string, std::string> query;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('&'), text.size());
    const std::string_view part = text.substr(0, end);
    const std::size_t equals = std::min(part.find('='), part.size());
    query[std::string(part.substr(0, equals))] =
        equals < part.size() ? Decode(part.substr(equals + 1)) : std::string();
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return query;
}

std::uint64_t NumberOf(const std::map<std::string, std::string>& query,
                       const std::string& name) {
  const auto at = query.find(name);
  return at == query.end() ? 0 : std::strtoull(at->second.c_str(), nullptr, 10);
}

std::string TextOf(const std::map<std::string, std::string>& query,
                   const std::string& name) {
  const auto at = query.find(name);
  return at == query.end() ? std::string() : at->second;
}

}  // namespace

Store::Store() : listener_(Socket::ListenOn()), port_(listener_.LocalPort()) {
  std::thread([this] {
    while (true) {
      Socket socket = listener_.Accept();
      if (!socket.valid())
        continue;
      std::thread([this, accepted = std::move(socket)]() mutable {
        Serve(std::move(accepted));
      }).detach();
    }
  }).detach();
}

void Store::Put(const std::string& topic,
                const std::string& key,
                const std::string& value) {
  const std::lock_guard lock(mutex_);
  topics_[topic].push_back({key, value});
  appended_.notify_all();
}

void Store::Serve(Socket socket) {
  std::string buffer;
  while (const auto request = ReadMessage(socket, buffer, kIdleTimeout)) {
    if (!socket.SendAll(Handle(*request)))
      return;
  }
}

std::string Store::Handle(const Message& request) {
  const std::string target = request.SecondWord();
  const std::size_t mark = std::min(target.find('?'), target.size());
  const std::string path = target.substr(0, mark);
  const auto query = ParseQuery(mark < target.size()
                                    ? std::string_view(target).substr(mark + 1)
                                    : std::string_view());
  if (path == "/v1/log-append")
    return Append(query, request.body);
  if (path == "/v1/log-read")
    return Read(query);
  if (path == "/v1/log-newest")
    return Newest(query);
  if (path == "/v1/log-join")
    return Join(request.body);
  if (path == "/v1/log-leave")
    return Leave(request.body);
  return Response(404, "{}", true);
}

std::string Store::Append(const std::map<std::string, std::string>& query,
                          const std::string& body) {
  const std::lock_guard lock(mutex_);
  std::vector<Record>& topic = topics_[TextOf(query, "topic")];
  if (query.contains("at") && NumberOf(query, "at") != topic.size()) {
    return Response(
        412, json::serialize(json::object{{"end-offset", topic.size()}}), true);
  }
  const std::size_t offset = topic.size();
  std::size_t at = 0;
  while (at + 4 <= body.size()) {
    std::size_t length = 0;
    for (int byte = 0; byte < 4; ++byte)
      length = (length << 8) | static_cast<unsigned char>(body[at++]);
    const std::size_t key_size = static_cast<unsigned char>(body.at(at));
    topic.push_back({body.substr(at + 1, key_size),
                     body.substr(at + 1 + key_size, length - 1 - key_size)});
    at += length;
  }
  appended_.notify_all();
  return Response(200,
                  json::serialize(json::object{{"offset", offset},
                                               {"end-offset", topic.size()}}),
                  true);
}

std::string Store::Read(const std::map<std::string, std::string>& query) {
  const std::size_t from = NumberOf(query, "from");
  std::unique_lock lock(mutex_);
  std::vector<Record>& topic = topics_[TextOf(query, "topic")];
  appended_.wait_for(lock,
                     std::chrono::milliseconds(NumberOf(query, "wait-ms")),
                     [&] { return topic.size() > from; });
  std::string body;
  AppendBigEndian(body, topic.size(), 8);
  AppendBigEndian(body, 0, 8);
  const std::size_t limit =
      (query.contains("max-kb") ? NumberOf(query, "max-kb") : 1024) << 10;
  for (std::size_t at = from; at < topic.size() && body.size() < limit; ++at) {
    const Record& record = topic[at];
    AppendBigEndian(body, 1 + record.key.size() + record.value.size(), 4);
    body += static_cast<char>(record.key.size());
    body += record.key + record.value;
  }
  return Response(200, body, false);
}

std::string Store::Newest(const std::map<std::string, std::string>& query) {
  const std::lock_guard lock(mutex_);
  const std::vector<Record>& topic = topics_[TextOf(query, "topic")];
  const std::string after = TextOf(query, "after");
  std::map<std::string, std::size_t> newest;
  for (std::size_t offset = 0; offset < topic.size(); ++offset)
    newest[topic[offset].key] = offset;
  json::array items;
  bool has_more = false;
  for (const auto& [key, offset] : newest) {
    if (topic[offset].value.empty() || (!after.empty() && key <= after))
      continue;
    has_more = items.size() >= kPageItems;
    if (has_more)
      break;
    items.push_back(json::object{{"key", key},
                                 {"value", Base64(topic[offset].value)},
                                 {"offset", offset}});
  }
  return Response(200,
                  json::serialize(json::object{{"items", std::move(items)},
                                               {"has-more", has_more},
                                               {"end-offset", topic.size()}}),
                  true);
}

void Store::RemoveExpiredMembers() {
  const auto now = std::chrono::steady_clock::now();
  if (std::erase_if(members_, [now](const auto& member) {
        return now >= member.second.expires_at;
      }) > 0)
    ++generation_;
}

std::string Store::Join(const std::string& body) {
  const json::value value = json::parse(body);
  const std::string id = Text(value.at("member-id"));
  const double ttl = value.at("ttl-s_time").to_number<double>();
  std::vector<std::string> topics;
  for (const json::value& topic : value.at("topics").as_array())
    topics.push_back(Text(topic));
  const std::lock_guard lock(mutex_);
  RemoveExpiredMembers();
  if (!members_.contains(id))
    ++generation_;
  members_[id] = {topics, std::chrono::steady_clock::now() +
                              std::chrono::milliseconds(
                                  static_cast<std::int64_t>(ttl * 1000))};
  const std::size_t own = static_cast<std::size_t>(
      std::distance(members_.begin(), members_.find(id)));
  json::array parts;
  std::size_t number = 0;
  for (const std::string& topic : topics) {
    for (int partition = 0; partition < kPartitions; ++partition) {
      if (number++ % members_.size() == own)
        parts.push_back(json::array{topic, partition, 0});
    }
  }
  return Response(200,
                  json::serialize(json::object{{"generation", generation_},
                                               {"ttl-s_time", ttl},
                                               {"parts", std::move(parts)}}),
                  true);
}

std::string Store::Leave(const std::string& body) {
  const std::string id = Text(json::parse(body).at("member-id"));
  const std::lock_guard lock(mutex_);
  if (members_.erase(id) > 0)
    ++generation_;
  return Response(200, "{}", true);
}

}  // namespace review
