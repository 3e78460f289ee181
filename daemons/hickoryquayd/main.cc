// hickoryquayd: an entry instance. `hickoryquayd --settings FILE.ini`
//
// Prints one line with its addresses once it serves. SIGTERM and SIGINT are a planned stop; a second one ends at once.
// SIGUSR1 writes a dump of its state to standard error. Exit code 2: the settings can't be used.

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <exception>
#include <iostream>
#include <string>

#include "hickoryquay/base/log.h"
#include "hickoryquay/base/run_loop.h"
#include "hickoryquay/instance/entry_instance.h"
#include "hickoryquay/settings/daemon_settings.h"

namespace hickoryquay {
namespace {

namespace po = boost::program_options;

constexpr int kBadSettings = 2;
constexpr int kCannotStart = 1;

// Runs one instance on the main thread's own context, which only waits for signals.
class Daemon {
 public:
  explicit Daemon(settings::DaemonSettings settings) : m_instance(std::move(settings)) {
    m_instance.SetDrainRequest([this] { boost::asio::post(m_io, [this] { PlannedStop(); }); });
  }

  void Run() {
    m_instance.Start();
    std::cout << "hickoryquayd: serving instance=" << m_instance.Id() << " callers=" << ToString(m_instance.Callers())
              << " inner=" << ToString(m_instance.Inner()) << " admin=" << ToString(m_instance.Admin()) << std::endl;
    WaitForStop();
    WaitForDump();
    RunLoop(&m_io);
    m_instance.Stop();
  }

 private:
  void WaitForStop() {
    m_stop.async_wait([this](const boost::system::error_code& error, int) {
      if (error) return;
      PlannedStop();
      WaitForStop();
    });
  }

  void PlannedStop() {
    if (m_stopping) return m_io.stop();
    m_stopping = true;
    m_instance.Drain([this] { m_io.stop(); });
  }

  void WaitForDump() {
    m_dump.async_wait([this](const boost::system::error_code& error, int) {
      if (error) return;
      m_instance.Dump([](const boost::json::value& dump) { std::cerr << boost::json::serialize(dump) + "\n"; });
      WaitForDump();
    });
  }

  boost::asio::io_context m_io{1};
  boost::asio::signal_set m_stop{m_io, SIGTERM, SIGINT};
  boost::asio::signal_set m_dump{m_io, SIGUSR1};
  bool m_stopping = false;
  instance::EntryInstance m_instance;
};

int Main(int argc, char** argv) {
  std::string file;
  po::options_description options("hickoryquayd: an entry instance");
  options.add_options()("help", "this text")("settings", po::value(&file), "INI file, see docs/operating.md");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "hickoryquayd: " << error.what() << '\n';
    return kBadSettings;
  }
  if (values.count("help") > 0 || file.empty()) {
    std::cout << options;
    return file.empty() ? kBadSettings : 0;
  }
  auto settings = settings::ParseDaemonSettings(file);
  if (!Ok(settings)) {
    std::cerr << "hickoryquayd: " << settings::ToString(ErrorOf(settings)) << '\n';
    return kBadSettings;
  }
  log::Configure(ValueOf(settings).m_log);
  try {
    Daemon(TakeValue(std::move(settings))).Run();
  } catch (const std::exception& error) {
    std::cerr << "hickoryquayd: " << error.what() << '\n';
    return kCannotStart;
  }
  return 0;
}

}  // namespace
}  // namespace hickoryquay

int main(int argc, char** argv) {
  return hickoryquay::Main(argc, argv);
}
