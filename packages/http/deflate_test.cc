// Tests of Deflate() and Inflate().

#include "http/deflate.h"

#include <random>
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

// Guards against a decoder that misses the end of the stream where the last
// byte of the input completes it, which is so for about one text in a hundred.
TEST_CASE("Inflate returns each of many key tables that were compressed") {
  constexpr unsigned kTables = 3000;
  unsigned failed = 0;
  for (unsigned seed = 1; seed <= kTables; ++seed) {
    std::mt19937 random(seed);
    std::string text = "[";
    const std::size_t rows = 250 + random() % 250;
    for (std::size_t row = 0; row < rows; ++row) {
      text += '[' + std::to_string(row * 100) + ',' +
              std::to_string(row * 100 + random() % 100) + ",\"i-" +
              std::to_string(random()) + "\"," + std::to_string(random()) +
              ",0],";
    }
    if (Inflate(Deflate(text), kNoLimit) != text)
      ++failed;
  }
  CHECK(failed == 0);
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
