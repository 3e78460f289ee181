#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <list>
#include <mutex>
#include <stdexcept>
#include <utility>

#include "hickoryquay/inner/channel.h"
#include "hickoryquay/inner/frame_stream.h"
#include "hickoryquay/net/accept_again.h"
#include "hickoryquay/net/refusals.h"

namespace hickoryquay::inner {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

class InnerServer::Impl : public std::enable_shared_from_this<InnerServer::Impl> {
 public:
  Impl(asio::io_context* io, const net::Endpoint& listen, MessageHandler handler, const InnerServerSettings& settings)
      : m_io(io),
        m_acceptor(asio::make_strand(*io)),
        m_handler(std::move(handler)),
        m_settings(settings),
        m_refusals("inner", settings.m_metrics),
        m_memory(std::make_shared<MemoryBudget>(settings.m_frame_bytes)) {
    try {
      const tcp::endpoint at(asio::ip::make_address(listen.m_address), listen.m_port);
      m_acceptor.open(at.protocol());
      m_acceptor.set_option(asio::socket_base::reuse_address(true));
      m_acceptor.bind(at);
      m_acceptor.listen();
    } catch (const boost::system::system_error& error) {
      throw std::runtime_error("cannot listen on " + net::ToString(listen) + ": " + error.code().message());
    }
  }

  void Accept() {
    m_acceptor.async_accept(asio::make_strand(*m_io),
                            [self = shared_from_this()](const error_code& error, tcp::socket socket) {
                              if (error == asio::error::operation_aborted) return;
                              if (!error) self->Serve(std::move(socket));
                              net::AcceptAgain(self->m_acceptor.get_executor(), error, [self] {
                                if (self->m_acceptor.is_open()) self->Accept();
                              });
                            });
  }

  void Stop() {
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
      error_code ignored;
      self->m_acceptor.close(ignored);
    });
  }

  net::Endpoint Local() const {
    const tcp::endpoint at = m_acceptor.local_endpoint();
    return {at.address().to_string(), at.port()};
  }

  Traffic Bytes() const { return {m_counters->m_sent, m_counters->m_received}; }

 private:
  static constexpr int kClosing = 8;  // Connections beyond the limit, while others are being closed.
  using Streams = std::list<std::weak_ptr<FrameStream>>;  // By when they began or brought their last whole frame.

  void Serve(tcp::socket socket) {
    if (!MakeRoom()) return;
    auto stream = std::make_shared<FrameStream>(std::move(socket), m_counters, m_memory);
    const Streams::iterator position = Add(stream);
    asio::dispatch(stream->Socket().get_executor(), [self = shared_from_this(), stream, position] {
      stream->Start(
          [self, weak = std::weak_ptr(stream), position](Frame frame) {
            self->MoveToEnd(position);
            self->OnFrame(weak, std::move(frame));
          },
          [self, position](const std::string&) { self->Remove(position); });
    });
  }

  Streams::iterator Add(const std::shared_ptr<FrameStream>& stream) {
    const std::lock_guard lock(m_mutex);
    return m_streams.insert(m_streams.end(), stream);
  }

  void MoveToEnd(Streams::iterator position) {
    const std::lock_guard lock(m_mutex);
    m_streams.splice(m_streams.end(), m_streams, position);
  }

  void Remove(Streams::iterator position) {
    const std::lock_guard lock(m_mutex);
    m_streams.erase(position);
  }

  // Closes the connection that has gone longest without a frame, if there are too many. False while those that were
  // asked to close have not done so yet.
  bool MakeRoom() {
    std::shared_ptr<FrameStream> longest;
    {
      const std::lock_guard lock(m_mutex);
      const auto open = static_cast<int>(m_streams.size());
      if (open < m_settings.m_max_connections) return true;
      if (open >= m_settings.m_max_connections + kClosing) {
        m_refusals.Note(net::Refusal::kConnection);
        return false;
      }
      longest = m_streams.front().lock();
      m_streams.splice(m_streams.end(), m_streams, m_streams.begin());
    }
    if (!longest) return true;
    m_refusals.Note(net::Refusal::kIdleConnection);
    asio::post(longest->Socket().get_executor(), [longest] { longest->Close("too many connections"); });
    return true;
  }

  void OnFrame(const std::weak_ptr<FrameStream>& weak, Frame frame) {
    const Answer answer = [weak, id = frame.m_id](Message message) {
      const auto stream = weak.lock();
      if (!stream) return;
      asio::post(stream->Socket().get_executor(), [stream, id, message = std::move(message)] {
        stream->Write(Frame{kProtocol, id, true, message});
      });
    };
    if (std::holds_alternative<std::monostate>(frame.m_message)) {
      wire::Unsupported unsupported;
      unsupported.__set_protocol(kProtocol);
      return answer(unsupported);
    }
    m_handler(std::move(frame.m_message), answer);
  }

  asio::io_context* m_io;
  tcp::acceptor m_acceptor;
  MessageHandler m_handler;
  InnerServerSettings m_settings;
  net::RefusalLog m_refusals;
  std::shared_ptr<MemoryBudget> m_memory;
  std::mutex m_mutex;
  Streams m_streams;  // Guarded by m_mutex.
  std::shared_ptr<TrafficCounters> m_counters = std::make_shared<TrafficCounters>();
};

InnerServer::InnerServer(asio::io_context* io, const net::Endpoint& listen, MessageHandler handler,
                         const InnerServerSettings& settings)
    : m_impl(std::make_shared<Impl>(io, listen, std::move(handler), settings)) {
  m_impl->Accept();
}

InnerServer::~InnerServer() {
  m_impl->Stop();
}
net::Endpoint InnerServer::Local() const {
  return m_impl->Local();
}
Traffic InnerServer::Bytes() const {
  return m_impl->Bytes();
}

}  // namespace hickoryquay::inner
