#include "standin/relay.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

namespace hickoryquay::standin {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kBufferBytes = 16 * 1024;
constexpr std::chrono::milliseconds kRetryEvery{50};

// Both directions of one relayed connection, on one strand. Kept alive by its pending operations.
class Link : public std::enable_shared_from_this<Link> {
 public:
  Link(tcp::socket caller, Relay::IsCut cut)
      : m_caller(std::move(caller)), m_target(m_caller.get_executor()), m_cut(std::move(cut)) {}

  void Start(const net::Endpoint& to) {
    const tcp::endpoint at(asio::ip::make_address(to.m_address), to.m_port);
    m_target.async_connect(at, [self = shared_from_this()](const error_code& error) {
      if (error) return self->Close();
      error_code ignored;
      self->m_target.set_option(tcp::no_delay(true), ignored);
      self->m_caller.set_option(tcp::no_delay(true), ignored);
      self->Pump(&self->m_caller, &self->m_target, &self->m_up);
      self->Pump(&self->m_target, &self->m_caller, &self->m_down);
    });
  }

  // Reads and drops what comes until the caller gives up.
  void Swallow() {
    m_caller.async_read_some(asio::buffer(m_up), [self = shared_from_this()](const error_code& error, std::size_t) {
      if (!error) self->Swallow();
    });
  }

 private:
  using Buffer = std::array<char, kBufferBytes>;

  void Pump(tcp::socket* from, tcp::socket* to, Buffer* buffer) {
    from->async_read_some(asio::buffer(*buffer),
                          [self = shared_from_this(), from, to, buffer](const error_code& error, std::size_t size) {
                            if (error) return self->FinishDirection(to);
                            if (self->m_cut()) return self->Pump(from, to, buffer);  // Dropped: the partition eats it.
                            asio::async_write(*to, asio::buffer(*buffer, size),
                                              [self, from, to, buffer](const error_code& failed, std::size_t) {
                                                failed ? self->Close() : self->Pump(from, to, buffer);
                                              });
                          });
  }

  void FinishDirection(tcp::socket* to) {
    error_code ignored;
    to->shutdown(tcp::socket::shutdown_send, ignored);
    if (++m_finished == 2) Close();
  }

  void Close() {
    error_code ignored;
    m_caller.close(ignored);
    m_target.close(ignored);
  }

  tcp::socket m_caller;
  tcp::socket m_target;
  Relay::IsCut m_cut;
  Buffer m_up{};
  Buffer m_down{};
  int m_finished = 0;
};

}  // namespace

class Relay::Impl : public std::enable_shared_from_this<Relay::Impl> {
 public:
  Impl(asio::io_context* io, Choose choose, IsCut cut)
      : m_io(io),
        m_acceptor(*io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        m_choose(std::move(choose)),
        m_cut(std::move(cut)) {}

  void Accept() {
    m_acceptor.async_accept(asio::make_strand(*m_io),
                            [self = shared_from_this()](const error_code& error, tcp::socket socket) {
                              if (error == asio::error::operation_aborted) return;
                              if (!error) self->Open(std::move(socket));
                              self->Accept();
                            });
  }

  net::Endpoint Local() const {
    const tcp::endpoint at = m_acceptor.local_endpoint();
    return {at.address().to_string(), at.port()};
  }

  void Stop() {
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
      error_code ignored;
      self->m_acceptor.close(ignored);
    });
  }

 private:
  void Open(tcp::socket socket) {
    auto link = std::make_shared<Link>(std::move(socket), m_cut);
    if (m_cut()) return link->Swallow();
    const std::optional<net::Endpoint> to = m_choose();
    if (to) link->Start(*to);
  }

  asio::io_context* m_io;
  tcp::acceptor m_acceptor;
  Choose m_choose;
  IsCut m_cut;
};

Relay::Relay(asio::io_context* io, Choose choose, IsCut cut)
    : m_impl(std::make_shared<Impl>(io, std::move(choose), std::move(cut))) {
  m_impl->Accept();
}

Relay::~Relay() {
  m_impl->Stop();
}

net::Endpoint Relay::Local() const {
  return m_impl->Local();
}

}  // namespace hickoryquay::standin
