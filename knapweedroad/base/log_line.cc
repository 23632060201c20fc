#include "knapweedroad/base/log_line.h"

#include <algorithm>

#include <glog/logging.h>

namespace knapweedroad {
namespace {

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

void LogLine::Info() const {
  LOG(INFO) << this->line;
}

void LogLine::Warning() const {
  LOG(WARNING) << this->line;
}

void LogLine::Error() const {
  LOG(ERROR) << this->line;
}

}  // namespace knapweedroad
