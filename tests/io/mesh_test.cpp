// Messages between daemons over real sockets, with and without keys.

#include "daemon/site.h"
#include "io/mesh.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <array>
#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using testing_support::wait_until;

struct key_pair {
    std::string public_key;
    std::string secret_key;
};

key_pair make_keys()
{
    std::array<char, 41> public_key{};
    std::array<char, 41> secret_key{};
    zmq_curve_keypair(public_key.data(), secret_key.data());
    return {public_key.data(), secret_key.data()};
}

endpoint free_address()
{
    QTcpServer it;
    it.listen(QHostAddress::LocalHost);
    return {"127.0.0.1", it.serverPort()};
}

/// Returns the settings of a daemon with the given peers.
settings settings_of(const std::string& id, const std::vector<peer_spec>& peers,
                     const key_pair& keys)
{
    settings out;
    out.id = daemon_id{id};
    out.peers = peers;
    out.curve_public_key = keys.public_key;
    for (const auto& it : peers) {
        if (it.id.str() == id) {
            out.daemons = it.address;
        }
    }
    return out;
}

wire::envelope envelope_from(const std::string& id)
{
    wire::envelope out;
    out.set_version(1);
    out.set_from(id);
    out.mutable_config_pull()->set_have_revision(7);
    return out;
}

/// Two daemons with the given keys, which count the messages that they receive from each other.
class daemon_pair {
public:
    daemon_pair(const key_pair& keys_of_a, const key_pair& keys_of_b)
    {
        const std::vector<peer_spec> peers{
            {daemon_id{"a"}, free_address(), failure_domain_id{"z"}, true, true},
            {daemon_id{"b"}, free_address(), failure_domain_id{"z"}, false, true}};
        a_address = peers.front().address;
        reason why;
        EXPECT_TRUE(a.start(settings_of("a", peers, keys_of_a), keys_of_a.secret_key, why))
            << why.str();
        EXPECT_TRUE(b.start(settings_of("b", peers, keys_of_b), keys_of_b.secret_key, why))
            << why.str();
    }

    void exchange_messages()
    {
        a.send(daemon_id{"b"}, envelope_from("a"));
        b.send(daemon_id{"a"}, envelope_from("b"));
        a.drain();
        b.drain();
    }

    endpoint a_address;
    int received_by_a = 0;
    int received_by_b = 0;
    mesh a{[this](const wire::envelope&) { ++received_by_a; }};
    mesh b{[this](const wire::envelope&) { ++received_by_b; }};
};

TEST(daemons, exchange_messages_without_encryption)
{
    daemon_pair it{{}, {}};
    EXPECT_TRUE(wait_until([&] {
        it.exchange_messages();
        return it.received_by_a > 0 && it.received_by_b > 0;
    }));
}

// Guards against messages that are dropped without a trace: one with bytes that are no text in
// any of its strings can't be read at all.
TEST(daemons, count_a_message_that_cannot_be_read_and_go_on)
{
    daemon_pair it{{}, {}};
    int unreadable = 0;
    it.a.on_unreadable = [&] { ++unreadable; };
    EXPECT_TRUE(wait_until([&] {
        it.b.send(daemon_id{"a"}, envelope_from("\xff\xfe"));
        it.a.drain();
        return unreadable > 0;
    }));
    EXPECT_EQ(it.received_by_a, 0);
    EXPECT_TRUE(wait_until([&] {
        it.exchange_messages();
        return it.received_by_a > 0;
    }));
}

TEST(daemons, with_the_fleets_keys_exchange_messages)
{
    const auto keys = make_keys();
    daemon_pair it{keys, keys};
    EXPECT_TRUE(wait_until([&] {
        it.exchange_messages();
        return it.received_by_a > 0 && it.received_by_b > 0;
    }));
}

TEST(daemons, without_the_fleets_keys_are_ignored)
{
    const auto keys = make_keys();
    for (const auto& other_keys : {make_keys(), key_pair{}}) {
        daemon_pair valid_pair{keys, keys};
        daemon_pair mismatched_pair{keys, other_keys};
        int rounds = 0;
        // As many rounds as the pair with valid keys needs for thirty messages in each direction.
        EXPECT_TRUE(wait_until([&] {
            valid_pair.exchange_messages();
            mismatched_pair.exchange_messages();
            ++rounds;
            return valid_pair.received_by_a > 30 && valid_pair.received_by_b > 30;
        }));
        EXPECT_EQ(mismatched_pair.received_by_a, 0);
        EXPECT_EQ(mismatched_pair.received_by_b, 0);
    }
}

TEST(a_client, that_knows_only_the_public_key_is_ignored)
{
    const auto keys = make_keys();
    const auto client_keys = make_keys();
    daemon_pair valid_pair{keys, keys};
    zmq::context_t context;
    zmq::socket_t client{context, zmq::socket_type::dealer};
    client.set(zmq::sockopt::linger, 0);
    client.set(zmq::sockopt::curve_publickey, client_keys.public_key);
    client.set(zmq::sockopt::curve_secretkey, client_keys.secret_key);
    client.set(zmq::sockopt::curve_serverkey, keys.public_key);
    client.connect("tcp://" + valid_pair.a_address.str());
    const auto forged = envelope_from("b").SerializeAsString();
    EXPECT_TRUE(wait_until([&] {
        client.send(zmq::buffer(forged), zmq::send_flags::dontwait);
        valid_pair.a.send(daemon_id{"b"}, envelope_from("a"));
        valid_pair.a.drain();
        valid_pair.b.drain();
        return valid_pair.received_by_b > 300;
    }));
    EXPECT_EQ(valid_pair.received_by_a, 0);
}

TEST(daemons, that_are_not_listed_in_the_settings_are_ignored)
{
    daemon_pair it{{}, {}};
    int rounds = 0;
    EXPECT_TRUE(wait_until([&] {
        it.b.send(daemon_id{"a"}, envelope_from("nobody"));
        it.a.send(daemon_id{"b"}, envelope_from("a"));
        it.a.drain();
        it.b.drain();
        ++rounds;
        return it.received_by_b > 30;
    }));
    EXPECT_EQ(it.received_by_a, 0);
}

/// A daemon with one peer, at whose address something else has accepted its connection.
class a_peer : public testing::Test {
protected:
    void SetUp() override
    {
        ASSERT_TRUE(other.listen(QHostAddress::LocalHost));
        address = {"127.0.0.1", other.serverPort()};
        peer = daemon_id{address.str()};
        reason why;
        ASSERT_TRUE(sender.start_unauthenticated({"127.0.0.1", 0}, why)) << why.str();
        sender.add_peer(peer);
        ASSERT_TRUE(wait_until([&] {
            accepted.reset(other.nextPendingConnection());
            return accepted != nullptr;
        }));
    }

    /// Starts the peer at its address and expects a message there within 10 s.
    void expect_message_at_peer()
    {
        constexpr std::chrono::seconds limit{10};
        bool received = false;
        mesh receiver{[&](const wire::envelope&) { received = true; }};
        reason why;
        ASSERT_TRUE(receiver.start_unauthenticated(address, why)) << why.str();
        wire::envelope message;
        message.set_from("sender");
        const auto start = std::chrono::steady_clock::now();
        const auto elapsed = [&] { return std::chrono::steady_clock::now() - start; };
        ASSERT_TRUE(wait_until([&] {
            sender.send(peer, message);
            receiver.drain();
            return received || elapsed() >= limit;
        }));
        ASSERT_TRUE(received);
        EXPECT_LT(elapsed(), limit);
    }

    QTcpServer other;
    endpoint address;
    daemon_id peer;
    mesh sender{[](const wire::envelope&) {}};
    std::unique_ptr<QTcpSocket> accepted;
};

TEST_F(a_peer, that_accepts_the_connection_and_sends_nothing_is_retried)
{
    other.close(); // the accepted connection stays open, as in a stopped process
    expect_message_at_peer();
}

// Guards against a daemon that never connects again after it received bytes that break the
// protocol: ZeroMQ does not reconnect after a protocol error.
TEST_F(a_peer, whose_address_answered_with_invalid_bytes_is_retried)
{
    // The signature and the version of ZMTP 3.1, then a mechanism that does not exist.
    constexpr int greeting_bytes = 64;
    QByteArray greeting{"\xff\0\0\0\0\0\0\0\1\x7f\3\1"
                        "unknown",
                        19};
    greeting.resize(greeting_bytes, '\0');
    accepted->write(greeting);
    ASSERT_TRUE(wait_until([&] { return accepted->state() == QAbstractSocket::UnconnectedState; }));
    other.close();
    expect_message_at_peer();
}

} // namespace
} // namespace cedarpoint
