#pragma once

#include "cedarpoint/config/settings.h"
#include "cedarpoint/core/reason.h"
#include "control.pb.h"

#include <QSocketNotifier>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <zmq.hpp>

namespace cedarpoint {

/// Messages between daemons over ZeroMQ. Delivers a message once or not at all; a message to a peer
/// that is not connected is dropped, never kept for later.
class mesh {
public:
    using handler = std::function<void(const wire::envelope&)>;

    explicit mesh(handler handler);
    ~mesh();
    mesh(const mesh&) = delete;
    mesh& operator=(const mesh&) = delete;

    bool start(const settings& own, const std::string& secret_key, reason& why);
    /// Listens at `at` for daemons that find each other: any may speak, and ids are addresses.
    bool start_open(const endpoint& at, reason& why);
    /// Connects to a daemon that was found. Its id is its address.
    void add_peer(const daemon_id& peer);
    void remove_peer(const daemon_id& peer);
    /// False if nothing was sent: the peer is unknown, there is no connection to it yet, or too
    /// much waits for it. A message that was sent may be lost all the same.
    bool send(const daemon_id& to, const wire::envelope& envelope);
    /// Reads all that has come. Called on the socket's event and, since that is edge-triggered,
    /// after each send and from the daemon's tick.
    void drain();

    [[nodiscard]] std::uint64_t bytes_out() const { return bytes_out_; }
    [[nodiscard]] std::uint64_t bytes_in() const { return bytes_in_; }

private:
    void secure(zmq::socket_t& socket, bool server) const;
    void open_inbox(const endpoint& at);
    void connect_peer(const daemon_id& peer, const endpoint& at);
    void watch_inbox();
    void answer_handshakes();

    handler handler_;
    zmq::context_t context_{1};
    std::unique_ptr<zmq::socket_t> gate_; ///< says who may connect (ZAP); only with keys
    std::unique_ptr<zmq::socket_t> inbox_;
    std::map<daemon_id, zmq::socket_t> peers_;
    std::map<daemon_id, std::string> known_; ///< peers by id, to refuse strangers' names
    std::unique_ptr<QSocketNotifier> notifier_;
    std::unique_ptr<QSocketNotifier> gate_notifier_;
    std::string public_key_;
    std::string secret_key_;
    std::uint64_t bytes_out_ = 0;
    std::uint64_t bytes_in_ = 0;
    bool draining_ = false;
    bool open_ = false; ///< strangers are heard
};

} // namespace cedarpoint
