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
    std::string open;
    std::string secret;
};

key_pair make_keys()
{
    std::array<char, 41> open{};
    std::array<char, 41> secret{};
    zmq_curve_keypair(open.data(), secret.data());
    return {open.data(), secret.data()};
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
    out.curve_public_key = keys.open;
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
    daemon_pair(const key_pair& first, const key_pair& second)
    {
        const std::vector<peer_spec> peers{
            {daemon_id{"a"}, free_address(), failure_domain_id{"z"}, true, true},
            {daemon_id{"b"}, free_address(), failure_domain_id{"z"}, false, true}};
        a_address = peers.front().address;
        reason why;
        EXPECT_TRUE(a.start(settings_of("a", peers, first), first.secret, why)) << why.str();
        EXPECT_TRUE(b.start(settings_of("b", peers, second), second.secret, why)) << why.str();
    }

    void exchange_messages()
    {
        a.send(daemon_id{"b"}, envelope_from("a"));
        b.send(daemon_id{"a"}, envelope_from("b"));
        a.drain();
        b.drain();
    }

    endpoint a_address;
    int at_a = 0;
    int at_b = 0;
    mesh a{[this](const wire::envelope&) { ++at_a; }};
    mesh b{[this](const wire::envelope&) { ++at_b; }};
};

TEST(daemons, exchange_messages_without_encryption)
{
    daemon_pair it{{}, {}};
    EXPECT_TRUE(wait_until([&] {
        it.exchange_messages();
        return it.at_a > 0 && it.at_b > 0;
    }));
}

TEST(daemons, with_the_fleets_keys_exchange_messages)
{
    const auto keys = make_keys();
    daemon_pair it{keys, keys};
    EXPECT_TRUE(wait_until([&] {
        it.exchange_messages();
        return it.at_a > 0 && it.at_b > 0;
    }));
}

TEST(daemons, without_the_fleets_keys_are_ignored)
{
    const auto keys = make_keys();
    for (const auto& strangers : {make_keys(), key_pair{}}) {
        daemon_pair proper{keys, keys};
        daemon_pair it{keys, strangers};
        int rounds = 0;
        // As many rounds as the pair with valid keys needs for thirty messages in each direction.
        EXPECT_TRUE(wait_until([&] {
            proper.exchange_messages();
            it.exchange_messages();
            ++rounds;
            return proper.at_a > 30 && proper.at_b > 30;
        }));
        EXPECT_EQ(it.at_a, 0);
        EXPECT_EQ(it.at_b, 0);
    }
}

TEST(a_client, that_knows_only_the_public_key_is_ignored)
{
    const auto keys = make_keys();
    const auto own = make_keys();
    daemon_pair proper{keys, keys};
    zmq::context_t context;
    zmq::socket_t stranger{context, zmq::socket_type::dealer};
    stranger.set(zmq::sockopt::linger, 0);
    stranger.set(zmq::sockopt::curve_publickey, own.open);
    stranger.set(zmq::sockopt::curve_secretkey, own.secret);
    stranger.set(zmq::sockopt::curve_serverkey, keys.open);
    stranger.connect("tcp://" + proper.a_address.str());
    const auto forged = envelope_from("b").SerializeAsString();
    EXPECT_TRUE(wait_until([&] {
        stranger.send(zmq::buffer(forged), zmq::send_flags::dontwait);
        proper.a.send(daemon_id{"b"}, envelope_from("a"));
        proper.a.drain();
        proper.b.drain();
        return proper.at_b > 300;
    }));
    EXPECT_EQ(proper.at_a, 0);
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
        return it.at_b > 30;
    }));
    EXPECT_EQ(it.at_a, 0);
}

TEST(a_peer, that_accepts_the_connection_and_sends_nothing_is_retried)
{
    auto silent = std::make_unique<QTcpServer>();
    ASSERT_TRUE(silent->listen(QHostAddress::LocalHost));
    const endpoint at{"127.0.0.1", silent->serverPort()};
    reason why;
    mesh sender{[](const wire::envelope&) {}};
    ASSERT_TRUE(sender.start_unauthenticated({"127.0.0.1", 0}, why)) << why.str();
    const daemon_id peer{at.str()};
    sender.add_peer(peer);
    std::unique_ptr<QTcpSocket> taken;
    ASSERT_TRUE(wait_until([&] {
        taken.reset(silent->nextPendingConnection());
        return taken != nullptr;
    }));
    silent->close(); // the accepted connection stays open, as in a stopped process
    bool heard = false;
    mesh receiver{[&](const wire::envelope&) { heard = true; }};
    ASSERT_TRUE(receiver.start_unauthenticated(at, why)) << why.str();
    wire::envelope word;
    word.set_from("sender");
    const auto begun = std::chrono::steady_clock::now();
    ASSERT_TRUE(wait_until([&] {
        sender.send(peer, word);
        receiver.drain();
        return heard;
    }));
    EXPECT_LT(std::chrono::steady_clock::now() - begun, std::chrono::seconds{10});
}

} // namespace
} // namespace cedarpoint
