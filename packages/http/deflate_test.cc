// Tests of compression.

#include "http/deflate.h"

#include <string>

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

constexpr std::size_t kNoLimit = 1 << 24;

// Guards against a configuration that arrives changed.
TEST_CASE("A text survives compression") {
  std::string text;
  SECTION("an empty one") {}
  SECTION("a short one") {
    text = "a";
  }
  SECTION("one without repetition") {
    for (int i = 0; i < 40000; ++i)
      text += static_cast<char>((i * 7919) >> (i % 5));
  }
  SECTION("one of many routes") {
    for (int i = 0; i < 5000; ++i)
      text += R"({"hostname":"h)" + std::to_string(i * 7919) + R"("},)";
  }
  CHECK(Inflate(Deflate(text), kNoLimit) == text);
}

TEST_CASE("A text of many routes shrinks to a fifth") {
  std::string text;
  for (int i = 0; i < 1357; ++i) {
    text += R"({"resource-kind":"routes","metadata":{"name":"route-)" +
            std::to_string(i) + R"("},"spec":{"hostname":"h)" +
            std::to_string(i * 7919 % 10007) +
            R"(.example","kind":"safe","timeout-s":5,"max-attempts":2}},)";
  }
  CHECK(Deflate(text).size() < text.size() / 5);
}

// Guards against a process that is stopped by what another one sent.
TEST_CASE("Damaged or endless compressed texts are refused") {
  const std::string text(100000, 'x');
  const std::string bytes = Deflate(text);
  CHECK_FALSE(Inflate(bytes, text.size() - 1));
  CHECK_FALSE(Inflate(bytes.substr(0, bytes.size() / 2), kNoLimit));
  CHECK_FALSE(Inflate("", kNoLimit));
  CHECK_FALSE(Inflate("\xff\xff no such format", kNoLimit));
}

}  // namespace
}  // namespace pollenrudder
