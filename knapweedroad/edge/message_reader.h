// Reads one HTTP/1.1 message from bytes as they come, keeping its header lines
// as one text. Parsing is Beast's.
//
//   RequestReader reader(limits);
//   size_t used = reader.Put(bytes);   // again with more until is_done()
//
// Included by .cc files of this folder only: Beast is slow to compile.

#ifndef KNAPWEEDROAD_EDGE_MESSAGE_READER_H_
#define KNAPWEEDROAD_EDGE_MESSAGE_READER_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include "knapweedroad/net/answer_status.h"

namespace knapweedroad::internal {

struct HeaderLine {
  uint32_t name_at = 0;
  uint32_t name_size = 0;
  uint32_t value_at = 0;
  uint32_t value_size = 0;
};

template <bool kIsRequest>
class MessageReader : public boost::beast::http::basic_parser<kIsRequest> {
  using Base = boost::beast::http::basic_parser<kIsRequest>;
  using Error = boost::beast::error_code;
  using View = boost::beast::string_view;

 public:
  MessageReader(size_t max_header_bytes, size_t max_body_bytes)
      : most_unfinished(max_header_bytes) {
    this->header_limit(static_cast<uint32_t>(max_header_bytes));
    this->body_limit(max_body_bytes);
    this->eager(true);
  }

  // Takes as many of the bytes as belong to this message; what is left over
  // after is_done() belongs to the next one. Sets `error` for bytes that are
  // no message; nothing may be put after that.
  //
  // The parser leaves the beginning of an unfinished line to be given again
  // with the next piece, so it is kept here.
  size_t Put(std::string_view bytes, Error& error) {
    if (this->unfinished.empty()) {
      const size_t used = this->Parse(bytes, error);
      if (error || this->is_done()) {
        return used;
      }
      this->unfinished.assign(bytes.substr(used));
      this->LimitUnfinished(error);
      return bytes.size();
    }
    this->unfinished.append(bytes);
    const size_t used = this->Parse(this->unfinished, error);
    const size_t left = this->unfinished.size() - used;
    if (error || this->is_done()) {
      this->unfinished.clear();
      return bytes.size() - std::min(left, bytes.size());
    }
    this->unfinished.erase(0, used);
    this->LimitUnfinished(error);
    return bytes.size();
  }

  // Bytes that the message takes in memory.
  size_t held_bytes() const {
    return this->unfinished.size() + this->text.size() + this->body.size();
  }

  size_t lines() const { return this->header_lines.size(); }
  std::string_view name(size_t line) const {
    const HeaderLine& of = this->header_lines[line];
    return std::string_view(this->text).substr(of.name_at, of.name_size);
  }
  std::string_view value(size_t line) const {
    const HeaderLine& of = this->header_lines[line];
    return std::string_view(this->text).substr(of.value_at, of.value_size);
  }

  int status = 0;
  std::string method;
  std::string path;
  std::string body;

 private:
  void on_request_impl(boost::beast::http::verb,
                       View method_text,
                       View target,
                       int,
                       Error&) override {
    this->method.assign(method_text.data(), method_text.size());
    this->path.assign(target.data(), target.size());
  }
  void on_response_impl(int code, View, int, Error& error) override {
    this->status = code;
    if (!IsFinalStatus(code) && !IsInterimStatus(code)) {
      error = boost::beast::http::error::bad_status;
    }
  }
  void on_field_impl(boost::beast::http::field,
                     View name,
                     View value,
                     Error&) override {
    HeaderLine line;
    line.name_at = static_cast<uint32_t>(this->text.size());
    line.name_size = static_cast<uint32_t>(name.size());
    this->text.append(name.data(), name.size());
    line.value_at = static_cast<uint32_t>(this->text.size());
    line.value_size = static_cast<uint32_t>(value.size());
    this->text.append(value.data(), value.size());
    this->header_lines.push_back(line);
  }
  void on_header_impl(Error&) override {}
  void on_body_init_impl(boost::optional<std::uint64_t> const& length,
                         Error&) override {
    if (length) {
      // A length that lies must not make this process reserve gigabytes.
      constexpr std::uint64_t kMostReserved = 64 << 10;
      this->body.reserve(std::min<std::uint64_t>(*length, kMostReserved));
    }
  }
  std::size_t on_body_impl(View bytes, Error&) override {
    this->body.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_chunk_header_impl(std::uint64_t, View, Error&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, View bytes, Error&) override {
    this->body.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_finish_impl(Error&) override {}

  // The parser limits the header, but neither a chunk's line nor the lines
  // after the last chunk.
  void LimitUnfinished(Error& error) {
    if (this->unfinished.size() > this->most_unfinished) {
      error = boost::beast::http::error::header_limit;
    }
  }

  // How many of the bytes the parser is done with.
  size_t Parse(std::string_view bytes, Error& error) {
    size_t used = 0;
    error = {};
    while (used < bytes.size() && !this->is_done() && !error) {
      const size_t taken = this->put(
          boost::asio::buffer(bytes.data() + used, bytes.size() - used), error);
      used += taken;
      if (error == boost::beast::http::error::need_more) {
        error = {};
        break;
      }
      if (taken == 0) {
        break;
      }
    }
    return used;
  }

  // The beginning of a line whose end has not come yet, and its longest.
  std::string unfinished;
  size_t most_unfinished = 0;
  std::string text;
  std::vector<HeaderLine> header_lines;
};

using RequestReader = MessageReader<true>;
using AnswerReader = MessageReader<false>;

}  // namespace knapweedroad::internal

#endif  // KNAPWEEDROAD_EDGE_MESSAGE_READER_H_
