#include "knapweedroad/edge/message_reader.h"

#include <criterion/criterion.h>

#include <random>

namespace knapweedroad::internal {
namespace {

constexpr std::string_view kPlain =
    "HTTP/1.1 200 OK\r\nRequest-Number: 12\r\nContent-Length: 5\r\n\r\nhello";
constexpr std::string_view kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n";

// A target's answer comes in two packets that are cut inside a header line or
// a chunk's head. The bytes before the cut were dropped; the answer was taken
// for garbage, and once the parser's own check ended the process.
Test(message_reader, an_answer_cut_anywhere_is_read_whole) {
  for (const std::string_view answer : {kPlain, kChunked}) {
    for (size_t cut = 1; cut < answer.size(); ++cut) {
      AnswerReader reader(1000, 1000);
      boost::beast::error_code error;
      size_t used = reader.Put(answer.substr(0, cut), error);
      cr_assert(!error && used == cut);
      used = reader.Put(answer.substr(cut), error);
      cr_assert(!error && used == answer.size() - cut);
      cr_assert(reader.is_done() && reader.body == "hello", "cut at %zu", cut);
    }
  }
}

Test(message_reader, byte_for_byte_and_with_the_next_message_behind) {
  AnswerReader reader(1000, 1000);
  boost::beast::error_code error;
  for (size_t i = 0; i + 1 < kChunked.size(); ++i) {
    cr_assert(reader.Put(kChunked.substr(i, 1), error) == 1 && !error);
  }
  const std::string end = std::string(kChunked.substr(kChunked.size() - 1));
  cr_assert(reader.Put(end + "HTTP/1.1", error) == 1);
  cr_assert(reader.is_done() && reader.body == "hello");
}

Test(message_reader, limits_and_garbage_are_errors) {
  const std::string big(200, 'x');
  AnswerReader header(100, 1000);
  boost::beast::error_code error;
  header.Put("HTTP/1.1 200 OK\r\nA: " + big + "\r\n\r\n", error);
  cr_expect(error == boost::beast::http::error::header_limit);
  AnswerReader body(1000, 3);
  body.Put(kPlain, error);
  cr_expect(error == boost::beast::http::error::body_limit);
  AnswerReader garbage(1000, 1000);
  garbage.Put("\x01\x02 no answer at all\r\n\r\n", error);
  cr_expect(error.failed());
}

// Spoiled answers in pieces of any size end in an error or a message.
Test(message_reader, spoiled_bytes_never_end_the_process) {
  std::mt19937 random(7);
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes(round % 2 == 0 ? kPlain : kChunked);
    for (int spoiled = 0; spoiled < 3; ++spoiled) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    AnswerReader reader(1000, 1000);
    boost::beast::error_code error;
    std::string_view left = bytes;
    while (!left.empty() && !error && !reader.is_done()) {
      const size_t size = std::min<size_t>(left.size(), 1 + random() % 9);
      reader.Put(left.substr(0, size), error);
      left.remove_prefix(size);
    }
  }
}

}  // namespace
}  // namespace knapweedroad::internal
