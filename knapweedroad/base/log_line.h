// One line of key=value pairs for each event, written through glog.
//
//   LogLine("target_left").Add("target", id).Add("in_flight", 2).Info();
//
// A value with a space, a quote, an equals sign or a control character is
// quoted, so that a line stays one line and can be taken apart again.

#ifndef KNAPWEEDROAD_BASE_LOG_LINE_H_
#define KNAPWEEDROAD_BASE_LOG_LINE_H_

#include <functional>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>

namespace knapweedroad {

class LogLine {
 public:
  explicit LogLine(std::string_view event);

  // Adds a pair; the key is a plain word.
  LogLine& Add(std::string_view key, std::string_view value);
  template <typename Value>
  LogLine& Add(std::string_view key, const Value& value) {
    if constexpr (std::is_integral_v<Value>) {
      return this->Add(key, std::string_view(std::to_string(value)));
    } else if constexpr (requires { std::string_view(value.str()); }) {
      return this->Add(key, std::string_view(value.str()));
    } else {
      std::ostringstream text;
      text << value;
      return this->Add(key, std::string_view(text.view()));
    }
  }

  // Write the line at that level; Trace() only with --v=1. Ask TraceIsOn()
  // before making a line that is only traced, where it would cost too much.
  void Trace() const;
  void Info() const;
  void Warning() const;
  void Error() const;

  static bool TraceIsOn();

  // Sends all lines there instead of to glog; none: back to glog. Before other
  // threads log.
  static void SetSink(std::function<void(std::string_view line)> sink);

  // The line as it would be written.
  const std::string& str() const { return this->line; }

 private:
  std::string line;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_BASE_LOG_LINE_H_
