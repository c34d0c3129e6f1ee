#pragma once

#include "cedarpoint/config/settings.h"
#include "cedarpoint/core/reason.h"
#include "cedarpoint/core/time.h"
#include "control.pb.h"

#include <QSocketNotifier>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <zmq.hpp>

namespace cedarpoint {

/// Exchanges messages between daemons over ZeroMQ. A message is delivered at most once. A message
/// to a peer that is not connected is dropped, not queued.
class mesh {
public:
    using handler = std::function<void(const wire::envelope&)>;

    explicit mesh(handler handler);
    ~mesh();
    mesh(const mesh&) = delete;
    mesh& operator=(const mesh&) = delete;

    bool start(const settings& own, const std::string& secret_key, reason& why);
    /// Listens at `at` for daemons that are not listed in the settings. Messages from any sender
    /// are accepted, and the id of a daemon is its address.
    bool start_unauthenticated(const endpoint& at, reason& why);
    /// Called for each message that can't be read.
    std::function<void()> on_unreadable;

    /// Connects to a daemon whose id is its address.
    void add_peer(const daemon_id& peer);
    void remove_peer(const daemon_id& peer);
    /// Returns false if nothing was sent because the peer is unknown, is not connected yet, or its
    /// send queue is full. A message that was sent can still be lost.
    bool send(const daemon_id& to, const wire::envelope& envelope);
    /// Reads and handles all messages received so far. Called on the socket's event. That event is
    /// edge-triggered, so the tick of the owner also calls this, before and after it sends.
    void drain();

    [[nodiscard]] std::uint64_t bytes_out() const { return bytes_out_; }
    [[nodiscard]] std::uint64_t bytes_in() const { return bytes_in_; }

private:
    struct peer {
        endpoint address;
        zmq::socket_t socket;
        instant latest_send;   ///< or when it was added
        instant next_reopen;   ///< while no message can be sent
        duration reopen_delay; ///< until the reopen after that
    };

    void secure(zmq::socket_t& socket, bool server) const;
    void open_inbox(const endpoint& at);
    void connect_peer(const daemon_id& id, const endpoint& at);
    [[nodiscard]] zmq::socket_t open_connection(const endpoint& at);
    /// Opens the connection to a peer anew if no message could be sent for long. ZeroMQ doesn't
    /// connect again after bytes that break the protocol.
    void reopen_if_stuck(instant now, peer& it);
    void watch_inbox();
    void handle_message(const zmq::message_t& body);
    void answer_handshakes();

    handler handler_;
    zmq::context_t context_{1};
    std::unique_ptr<zmq::socket_t> zap_socket_; ///< authenticates connections (ZAP); only with keys
    std::unique_ptr<zmq::socket_t> inbox_;
    std::map<daemon_id, peer> peers_;
    std::map<daemon_id, std::string> peer_addresses_; ///< other senders are rejected
    std::unique_ptr<QSocketNotifier> notifier_;
    std::unique_ptr<QSocketNotifier> zap_notifier_;
    std::string public_key_;
    std::string secret_key_;
    std::uint64_t bytes_out_ = 0;
    std::uint64_t bytes_in_ = 0;
    bool draining_ = false;
    bool accepts_unknown_peers_ = false; ///< messages from unknown senders are accepted
};

} // namespace cedarpoint
