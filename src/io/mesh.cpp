#include "io/mesh.h"

#include "io/clock.h"
#include "io/listen_step.h"
#include "io/log_line.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <google/protobuf/stubs/logging.h>
#include <vector>

namespace cedarpoint {
namespace {

/// Length of the queues in messages. Messages to a peer whose queue is full are dropped.
constexpr int high_water = 10'000;
/// Delay before the first attempt to reconnect. It doubles up to `reconnect_max_ms`.
constexpr int reconnect_ms = 50;
constexpr int reconnect_max_ms = 400;
/// Time limit for establishing a connection.
constexpr int connect_timeout_ms = 300;
/// Time limit for the handshake after a peer accepted the connection. With the 30 s that ZeroMQ
/// uses by default, daemons stayed disconnected after a network partition from peers that had
/// accepted but never answered (soak test with seed 150; mesh_test takes 30.1 s with the default
/// and 1.6 s with this value).
constexpr int handshake_ms = 1500;
/// Interval and timeout of ZeroMQ's heartbeats, which close dead connections.
constexpr int heartbeat_ms = 1000;
constexpr int heartbeat_timeout_ms = 2500;
/// Time without a connection after which it is opened anew. Longer than ZeroMQ needs for a
/// connection and its handshake. Doubles with each further time.
constexpr duration first_reopen_delay = seconds{3};
constexpr duration max_reopen_delay = seconds{60};
/// Bounds the memory that a peer can make this process allocate. A snapshot is a single message.
constexpr std::size_t max_message = 64 << 20;
constexpr const char* zap_address = "inproc://zeromq.zap.01";
constexpr const char* zap_domain = "cedarpoint";
constexpr std::size_t key_bytes = 32;

const char* step_of(const zmq::error_t& in)
{
    return in.num() == EADDRINUSE ? listen_in_use_step : listen_step;
}

/// Returns the address that the message came from, without a port; "?" if ZeroMQ knows none.
std::string ip_of_sender(const zmq::message_t& message)
{
    const char* out = zmq_msg_gets(message.handle(), "Peer-Address");
    return out == nullptr ? "?" : out;
}

/// Protobuf writes its errors to stderr unless it has a handler.
void log_protobuf_error(google::protobuf::LogLevel /*level*/, const char* /*file*/, int /*line*/,
                        const std::string& text)
{
    log_line("protobuf_error").with("reason", text).write();
}

std::string tcp(const endpoint& it)
{
    return "tcp://" + it.str();
}

} // namespace

mesh::mesh(handler handler) : handler_{std::move(handler)}
{
    google::protobuf::SetLogHandler(log_protobuf_error);
}

mesh::~mesh()
{
    notifier_.reset();
    zap_notifier_.reset();
    peers_.clear();
    inbox_.reset();
    zap_socket_.reset();
}

void mesh::secure(zmq::socket_t& socket, bool server) const
{
    if (secret_key_.empty()) {
        return;
    }
    socket.set(zmq::sockopt::curve_publickey, public_key_);
    socket.set(zmq::sockopt::curve_secretkey, secret_key_);
    if (server) {
        socket.set(zmq::sockopt::curve_server, 1);
        socket.set(zmq::sockopt::zap_domain, zap_domain);
    }
    else {
        socket.set(zmq::sockopt::curve_serverkey, public_key_);
    }
}

bool mesh::start(const settings& own, const std::string& secret_key, reason& why)
{
    public_key_ = own.curve_public_key;
    secret_key_ = secret_key;
    try {
        if (!secret_key_.empty()) {
            zap_socket_ = std::make_unique<zmq::socket_t>(context_, zmq::socket_type::router);
            zap_socket_->bind(zap_address);
            zap_notifier_ = std::make_unique<QSocketNotifier>(zap_socket_->get(zmq::sockopt::fd),
                                                              QSocketNotifier::Read);
            QObject::connect(zap_notifier_.get(), &QSocketNotifier::activated,
                             [this] { answer_handshakes(); });
        }
        open_inbox(*own.daemons);
        for (const auto& it : own.peers) {
            if (it.id != own.id) {
                connect_peer(it.id, it.address);
            }
        }
    }
    catch (const zmq::error_t& e) {
        why = {step_of(e), own.daemons->str(), e.what()};
        return false;
    }
    watch_inbox();
    return true;
}

bool mesh::start_unauthenticated(const endpoint& at, reason& why)
{
    accepts_unknown_peers_ = true;
    try {
        open_inbox(at);
    }
    catch (const zmq::error_t& e) {
        why = {step_of(e), at.str(), e.what()};
        return false;
    }
    watch_inbox();
    return true;
}

void mesh::open_inbox(const endpoint& at)
{
    inbox_ = std::make_unique<zmq::socket_t>(context_, zmq::socket_type::router);
    inbox_->set(zmq::sockopt::rcvhwm, high_water);
    inbox_->set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(max_message));
    inbox_->set(zmq::sockopt::linger, 0);
    secure(*inbox_, true);
    inbox_->bind(tcp(at));
}

void mesh::connect_peer(const daemon_id& id, const endpoint& at)
{
    const auto now = steady_now();
    peer_addresses_[id] = at.str();
    peers_.emplace(
        id, peer{at, open_connection(at), now, now + first_reopen_delay, 2 * first_reopen_delay});
}

zmq::socket_t mesh::open_connection(const endpoint& at)
{
    zmq::socket_t out{context_, zmq::socket_type::dealer};
    out.set(zmq::sockopt::linger, 0);
    out.set(zmq::sockopt::immediate, 1);
    out.set(zmq::sockopt::sndhwm, high_water);
    out.set(zmq::sockopt::reconnect_ivl, reconnect_ms);
    out.set(zmq::sockopt::reconnect_ivl_max, reconnect_max_ms);
    // A machine that is switched off does not answer, so that only a timeout ends the attempt.
    out.set(zmq::sockopt::connect_timeout, connect_timeout_ms);
    // A stopped process can accept a connection and never complete the handshake.
    out.set(zmq::sockopt::handshake_ivl, handshake_ms);
    out.set(zmq::sockopt::heartbeat_ivl, heartbeat_ms);
    out.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_ms);
    secure(out, false);
    out.connect(tcp(at));
    return out;
}

void mesh::reopen_if_stuck(instant now, peer& it)
{
    if (now < it.next_reopen) {
        return;
    }
    it.next_reopen = now + it.reopen_delay;
    it.reopen_delay = std::min(2 * it.reopen_delay, max_reopen_delay);
    it.socket = open_connection(it.address);
    log_line("connection_reopened")
        .with("peer", it.address.str())
        .with("nothing_sent_ms", to_ms(now - it.latest_send))
        .write();
}

void mesh::watch_inbox()
{
    notifier_ =
        std::make_unique<QSocketNotifier>(inbox_->get(zmq::sockopt::fd), QSocketNotifier::Read);
    QObject::connect(notifier_.get(), &QSocketNotifier::activated, [this] { drain(); });
}

void mesh::add_peer(const daemon_id& peer)
{
    const auto at = endpoint::parse(peer.str());
    if (at && !peers_.contains(peer)) {
        connect_peer(peer, *at);
    }
}

void mesh::remove_peer(const daemon_id& peer)
{
    peers_.erase(peer);
    peer_addresses_.erase(peer);
}

bool mesh::send(const daemon_id& to, const wire::envelope& envelope)
{
    const auto it = peers_.find(to);
    if (it == peers_.end()) {
        return false;
    }
    zmq::message_t message{envelope.ByteSizeLong()};
    envelope.SerializeToArray(message.data(), static_cast<int>(message.size()));
    const auto n = message.size();
    const auto now = steady_now();
    auto& receiver = it->second;
    if (!receiver.socket.send(message, zmq::send_flags::dontwait)) {
        reopen_if_stuck(now, receiver);
        return false;
    }
    receiver.latest_send = now;
    receiver.next_reopen = now + first_reopen_delay;
    receiver.reopen_delay = 2 * first_reopen_delay;
    bytes_out_ += n;
    return true;
}

void mesh::drain()
{
    if (draining_ || inbox_ == nullptr) {
        return;
    }
    draining_ = true;
    answer_handshakes();
    zmq::message_t sender;
    zmq::message_t body;
    while (inbox_->recv(sender, zmq::recv_flags::dontwait)) {
        if (!sender.more() || !inbox_->recv(body, zmq::recv_flags::dontwait)) {
            continue;
        }
        while (body.more()) {
            zmq::message_t rest;
            if (!inbox_->recv(rest, zmq::recv_flags::dontwait) || !rest.more()) {
                break;
            }
        }
        handle_message(body);
    }
    draining_ = false;
}

void mesh::handle_message(const zmq::message_t& body)
{
    wire::envelope in;
    if (!in.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
        log_line("message_unreadable")
            .with("sender", ip_of_sender(body))
            .with("bytes", body.size())
            .write();
        if (on_unreadable) {
            on_unreadable();
        }
        return;
    }
    if (accepts_unknown_peers_ || peer_addresses_.contains(daemon_id{in.from()})) {
        bytes_in_ += body.size();
        handler_(in);
    }
}

void mesh::answer_handshakes()
{
    if (zap_socket_ == nullptr) {
        return;
    }
    // ZAP 1.0 over a router: identity, empty, version, request id, domain, address, peer identity,
    // mechanism, the client's public key. Only clients with the fleet's key are accepted.
    std::array<std::uint8_t, key_bytes> own{};
    zmq_z85_decode(own.data(), public_key_.c_str());
    for (;;) {
        std::vector<zmq::message_t> parts;
        do {
            zmq::message_t part;
            if (!zap_socket_->recv(part, zmq::recv_flags::dontwait)) {
                return;
            }
            parts.push_back(std::move(part));
        } while (parts.back().more());
        constexpr std::size_t curve_parts = 9; // frames of a ZAP request with a key (RFC 27)
        const bool is_accepted = parts.size() == curve_parts &&
                                 parts[7].to_string_view() == "CURVE" &&
                                 parts[8].size() == key_bytes &&
                                 std::memcmp(parts[8].data(), own.data(), key_bytes) == 0;
        if (parts.size() < 4) {
            continue;
        }
        const std::string status = is_accepted ? "200" : "400";
        zap_socket_->send(parts[0], zmq::send_flags::sndmore);
        zap_socket_->send(zmq::message_t{}, zmq::send_flags::sndmore);
        zap_socket_->send(zmq::str_buffer("1.0"), zmq::send_flags::sndmore);
        zap_socket_->send(parts[3], zmq::send_flags::sndmore);
        zap_socket_->send(zmq::buffer(status), zmq::send_flags::sndmore);
        zap_socket_->send(zmq::message_t{}, zmq::send_flags::sndmore);
        zap_socket_->send(zmq::message_t{}, zmq::send_flags::sndmore);
        zap_socket_->send(zmq::message_t{}, zmq::send_flags::none);
    }
}

} // namespace cedarpoint
