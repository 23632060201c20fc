#include "knapweedroad/base/log_line.h"

#include <algorithm>

#include <utility>

#include <glog/logging.h>

namespace knapweedroad {
namespace {

std::function<void(std::string_view)>& Sink() {
  static std::function<void(std::string_view)> sink;
  return sink;
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
           return static_cast<unsigned char>(c) <= ' ' || c == '"' ||
                  c == '=' || c == '\\';
         });
}

void AppendQuoted(std::string& line, std::string_view value) {
  line += '"';
  for (const char c : value) {
    if (c == '\n') {
      line += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') {
      line += '\\';
    }
    line += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
  }
  line += '"';
}

}  // namespace

LogLine::LogLine(std::string_view event) : line("event=") {
  this->line += event;
}

LogLine& LogLine::Add(std::string_view key, std::string_view value) {
  this->line += ' ';
  this->line += key;
  this->line += '=';
  if (NeedsQuotes(value)) {
    AppendQuoted(this->line, value);
  } else {
    this->line += value;
  }
  return *this;
}

void LogLine::Trace() const {
  VLOG(1) << this->line;
}

bool LogLine::TraceIsOn() {
  return VLOG_IS_ON(1);
}

void LogLine::SetSink(std::function<void(std::string_view)> sink) {
  Sink() = std::move(sink);
}

void LogLine::Info() const {
  if (const auto& sink = Sink()) {
    sink(this->line);
    return;
  }
  LOG(INFO) << this->line;
}

void LogLine::Warning() const {
  if (const auto& sink = Sink()) {
    sink(this->line);
    return;
  }
  LOG(WARNING) << this->line;
}

void LogLine::Error() const {
  if (const auto& sink = Sink()) {
    sink(this->line);
    return;
  }
  LOG(ERROR) << this->line;
}

}  // namespace knapweedroad
