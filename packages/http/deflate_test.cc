// Tests of Deflate() and Inflate().

#include "http/deflate.h"

#include <string>

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

constexpr std::size_t kNoLimit = 1 << 24;

// Guards against a configuration that is altered in transit.
TEST_CASE("Inflate returns the text that was compressed") {
  std::string text;
  SECTION("empty text") {}
  SECTION("short text") {
    text = "a";
  }
  SECTION("text without repetition") {
    for (int i = 0; i < 40000; ++i)
      text += static_cast<char>((i * 7919) >> (i % 5));
  }
  SECTION("text of many routes") {
    for (int i = 0; i < 5000; ++i)
      text += R"({"hostname":"h)" + std::to_string(i * 7919) + R"("},)";
  }
  CHECK(Inflate(Deflate(text), kNoLimit) == text);
}

TEST_CASE("A text of many routes is compressed to less than a fifth") {
  std::string text;
  for (int i = 0; i < 1357; ++i) {
    text += R"({"resource-kind":"routes","metadata":{"name":"route-)" +
            std::to_string(i) + R"("},"spec":{"hostname":"h)" +
            std::to_string(i * 7919 % 10007) +
            R"(.example","kind":"safe","timeout-s":5,"max-attempts":2}},)";
  }
  CHECK(Deflate(text).size() < text.size() / 5);
}

// Guards against invalid input from another process that stops this one.
TEST_CASE("Malformed or oversized compressed texts are rejected") {
  const std::string text(100000, 'x');
  const std::string bytes = Deflate(text);
  CHECK_FALSE(Inflate(bytes, text.size() - 1));
  CHECK_FALSE(Inflate(bytes.substr(0, bytes.size() / 2), kNoLimit));
  CHECK_FALSE(Inflate("", kNoLimit));
  CHECK_FALSE(Inflate("\xff\xff no such format", kNoLimit));
}

}  // namespace
}  // namespace pollenrudder
