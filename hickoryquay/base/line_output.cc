#include "hickoryquay/base/line_output.h"

#include <fcntl.h>
#include <unistd.h>

#include <iostream>

namespace hickoryquay::log {

namespace {

std::ostream*& Current() {
  static std::ostream* current = &std::cerr;
  return current;
}

}  // namespace

LineOutput::LineOutput(int descriptor) : m_descriptor(descriptor) {
  const int flags = ::fcntl(descriptor, F_GETFL);
  if (flags >= 0) ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

LineOutput::int_type LineOutput::overflow(int_type c) {
  if (traits_type::eq_int_type(c, traits_type::eof())) return traits_type::not_eof(c);
  const char letter = traits_type::to_char_type(c);
  xsputn(&letter, 1);
  return c;
}

std::streamsize LineOutput::xsputn(const char* text, std::streamsize length) {
  for (std::streamsize i = 0; i < length; ++i) {
    m_line.push_back(text[i]);
    if (text[i] == '\n') EndLine();
  }
  return length;
}

int LineOutput::sync() {
  Flush();
  return 0;
}

void LineOutput::EndLine() {
  Flush();
  std::string line;
  if (m_left_out > m_reported) {
    line = R"({"level":"W","part":"log","text":"Lines were left out, nobody reads them","lines":)" +
           std::to_string(m_left_out - m_reported) + "}\n";
  }
  line += m_line;
  m_line.clear();
  if (m_pending.size() + line.size() > kMaxPending) {
    ++m_left_out;
    return;
  }
  m_reported = m_left_out;
  m_pending += line;
  Flush();
}

void LineOutput::Flush() {
  std::size_t written = 0;
  while (written < m_pending.size()) {
    const ssize_t now = ::write(m_descriptor, m_pending.data() + written, m_pending.size() - written);
    if (now <= 0) break;  // Full, or nobody will ever read: the rest waits, within its bound.
    written += static_cast<std::size_t>(now);
  }
  m_pending.erase(0, written);
}

std::ostream& Output() {
  return *Current();
}

void UseStandardOutput() {
  static LineOutput output(STDOUT_FILENO);
  static std::ostream stream(&output);
  Current() = &stream;
}

}  // namespace hickoryquay::log
