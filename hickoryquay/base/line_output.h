// LineOutput: whole lines to a file descriptor that may be a pipe nobody reads: it never waits. Lines that don't fit
// are left out and counted; the count goes out in front of the next line that does.
#pragma once

#include <cstdint>
#include <mutex>
#include <ostream>
#include <streambuf>
#include <string>

namespace hickoryquay::log {

// Thread-safe for whole lines only: writers hold a lock of their own.
class LineOutput final : public std::streambuf {
 public:
  static constexpr std::size_t kMaxPending =
      256 * 1024;  // Bytes that wait for the reader; what a burst of a second needs.

  // Makes `descriptor` non-blocking.
  explicit LineOutput(int descriptor);

  std::uint64_t LeftOut() const { return m_left_out; }  // Lines, since the start.

 protected:
  int_type overflow(int_type c) override;
  std::streamsize xsputn(const char* text, std::streamsize length) override;
  int sync() override;

 private:
  void EndLine();
  void Flush();

  int m_descriptor;
  std::string m_line;     // Being written.
  std::string m_pending;  // Whole lines that wait; the first may have gone out in part.
  std::uint64_t m_left_out = 0;
  std::uint64_t m_reported = 0;
};

// Where the process's log goes: standard error until told otherwise.
std::ostream& Output();

// From now on to standard output, without ever blocking on it.
void UseStandardOutput();

}  // namespace hickoryquay::log
