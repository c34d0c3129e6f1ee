#include "cedarpoint/storage/log_store.h"
#include "storage/posix_file_system.h"
#include "support/memory_files.h"

#include <QTemporaryDir>

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using testing_support::memory_files;

wire::storage_batch batch_of(std::uint64_t first, std::uint64_t last)
{
    wire::storage_batch out;
    out.mutable_state()->set_term(last);
    for (auto n = first; n <= last; ++n) {
        auto* it = out.add_entries();
        it->set_index(n);
        it->set_term(1);
        it->set_command("command " + std::to_string(n));
    }
    return out;
}

/// Opens the log anew and returns its number of entries, or -1 if the log is refused.
int entries_at_opening(file_system& files, reason& why)
{
    raft_state state;
    const auto it = log_store::open(files, "data", state, why);
    return it == nullptr ? -1 : static_cast<int>(state.entries.size());
}

void write_three(file_system& files)
{
    raft_state state;
    reason why;
    const auto it = log_store::open(files, "data", state, why);
    ASSERT_NE(it, nullptr);
    for (std::uint64_t n = 1; n <= 3; ++n) {
        ASSERT_TRUE(it->append(batch_of(n, n), why));
    }
}

TEST(a_log, torn_at_any_byte_of_its_last_batch_loses_only_that_batch)
{
    memory_files whole;
    write_three(whole);
    auto& text = whole.files().at("data/log");
    raft_state state;
    reason why;
    const auto full = text;
    memory_files two;
    {
        const auto it = log_store::open(two, "data", state, why);
        ASSERT_TRUE(it->append(batch_of(1, 1), why));
        ASSERT_TRUE(it->append(batch_of(2, 2), why));
    }
    const auto kept = two.files().at("data/log").size();
    for (auto size = kept; size < full.size(); ++size) {
        memory_files torn;
        torn.files()["data/log"] = full.substr(0, size);
        EXPECT_EQ(entries_at_opening(torn, why), 2) << size;
        EXPECT_EQ(torn.files().at("data/log").size(), kept)
            << "the incomplete record at the end must be removed";
    }
}

// Guards against a member that acknowledges and votes as if it held the entries of a snapshot that
// its folder has lost.
TEST(a_log, whose_snapshot_is_missing_or_older_is_refused)
{
    memory_files files;
    raft_state state;
    reason why;
    const auto it = log_store::open(files, "data", state, why);
    ASSERT_NE(it, nullptr);
    const auto save = [&](std::uint64_t index, const wire::storage_batch& rest) {
        wire::log_snapshot snapshot;
        snapshot.set_index(index);
        snapshot.set_term(1);
        ASSERT_TRUE(it->save_snapshot(snapshot, rest, why));
    };
    save(2, batch_of(3, 4));
    const auto older = files.files().at("data/snapshot");
    auto rest = batch_of(8, 9);
    save(7, rest);
    EXPECT_EQ(entries_at_opening(files, why), 2);

    files.files()["data/snapshot"] = older;
    EXPECT_EQ(entries_at_opening(files, why), -1) << "entries 3 to 7 are missing";
    files.files().erase("data/snapshot");
    EXPECT_EQ(entries_at_opening(files, why), -1);

    rest.clear_entries();
    rest.mutable_state()->set_commit(7);
    save(7, rest);
    EXPECT_EQ(entries_at_opening(files, why), 0);
    files.files().erase("data/snapshot");
    EXPECT_EQ(entries_at_opening(files, why), -1) << "the commit index is past the log's end";
}

// Guards against a member that acknowledges again, after it was killed in a sync, what a loss of
// power then takes away.
TEST(a_log, keeps_what_was_read_at_its_opening)
{
    memory_files files;
    raft_state state;
    reason why;
    auto it = log_store::open(files, "data", state, why);
    ASSERT_TRUE(it->append(batch_of(1, 1), why));
    files.fail_sync(0);
    ASSERT_FALSE(it->append(batch_of(2, 2), why));
    ASSERT_EQ(entries_at_opening(files, why), 2) << "killed, it reads what it wrote";
    files.lose_power();
    EXPECT_EQ(entries_at_opening(files, why), 2);
}

class a_log_whose_folder_is_not_synced : public testing::Test {
protected:
    a_log_whose_folder_is_not_synced()
    {
        raft_state state;
        it = log_store::open(files, "data", state, why);
        EXPECT_TRUE(it->append(batch_of(1, 3), why));
        wire::log_snapshot snapshot;
        snapshot.set_index(2);
        snapshot.set_term(1);
        files.fail_sync(1); // the log's replacement follows the snapshot's
        EXPECT_FALSE(it->save_snapshot(snapshot, batch_of(3, 3), why));
    }
    memory_files files;
    reason why;
    std::unique_ptr<log_store> it;
};

// Guards against entries that are synced into a file whose name a loss of power gives to the file
// before it.
TEST_F(a_log_whose_folder_is_not_synced, keeps_what_is_appended_later)
{
    ASSERT_TRUE(it->append(batch_of(4, 4), why)) << why.str();
    files.lose_power();
    EXPECT_EQ(entries_at_opening(files, why), 2) << why.str();
}

TEST_F(a_log_whose_folder_is_not_synced, keeps_what_is_appended_after_another_start)
{
    raft_state state;
    it = log_store::open(files, "data", state, why);
    ASSERT_TRUE(it->append(batch_of(4, 4), why));
    files.lose_power();
    EXPECT_EQ(entries_at_opening(files, why), 2) << why.str();
}

// Guards against a log that is cut, after a failed append, at the length of the longer one before.
TEST_F(a_log_whose_folder_is_not_synced, is_cut_at_its_own_length)
{
    files.fail_write(0, 5);
    ASSERT_FALSE(it->append(batch_of(4, 4), why));
    files.work_again();
    ASSERT_TRUE(it->append(batch_of(4, 4), why)) << why.str();
    EXPECT_EQ(entries_at_opening(files, why), 2) << why.str();
}

// Guards against a voter that takes uncommitted entries of an earlier term for the end of its log,
// and so votes for a candidate that lacks what the snapshot holds.
TEST(a_log, that_does_not_follow_the_leaders_snapshot_is_dropped)
{
    memory_files files;
    raft_state state;
    reason why;
    const auto it = log_store::open(files, "data", state, why);
    ASSERT_TRUE(it->append(batch_of(1, 4), why));
    wire::log_snapshot snapshot;
    snapshot.set_index(3);
    snapshot.set_term(2); // another entry than the third one of the log
    files.fail_write(1, 0);
    ASSERT_FALSE(it->save_snapshot(snapshot, {}, why));
    files.work_again();
    EXPECT_EQ(entries_at_opening(files, why), 0) << why.str();
}

TEST(a_log, damaged_in_the_middle_is_refused_with_the_place)
{
    memory_files files;
    write_three(files);
    auto& text = files.files().at("data/log");
    text[text.find("command 2")] = 'X';
    reason why;
    EXPECT_EQ(entries_at_opening(files, why), -1);
    EXPECT_EQ(why.peer, "data/log");
    EXPECT_NE(why.text.find("damaged at byte"), std::string::npos);
}

TEST(a_log, of_another_version_is_refused)
{
    memory_files files;
    files.files()["data/log"] = "cedarpoint log 9\n";
    reason why;
    EXPECT_EQ(entries_at_opening(files, why), -1);
}

TEST(a_snapshot, replaces_what_it_covers_and_survives_a_crash_between_its_two_writes)
{
    for (const int failing_write : {-1, 0, 1}) {
        memory_files files;
        write_three(files);
        raft_state state;
        reason why;
        const auto it = log_store::open(files, "data", state, why);
        wire::log_snapshot snapshot;
        snapshot.set_index(2);
        snapshot.set_term(1);
        snapshot.set_state("state at 2");
        if (failing_write >= 0) {
            files.fail_write(failing_write, 0);
        }
        EXPECT_EQ(it->save_snapshot(snapshot, batch_of(3, 3), why), failing_write < 0);
        files.work_again();
        raft_state after;
        ASSERT_NE(log_store::open(files, "data", after, why), nullptr);
        EXPECT_EQ(after.snapshot.index() + after.entries.size(), 3U) << failing_write;
        EXPECT_EQ(after.entries.back().command(), "command 3");
    }
}

TEST(real_files, keep_what_was_synced)
{
    QTemporaryDir folder;
    posix_file_system files;
    reason why;
    const auto path = folder.path().toStdString() + "/x";
    EXPECT_FALSE(files.read(path, why));
    EXPECT_TRUE(why.step.empty());
    ASSERT_TRUE(files.append_synced(path, "one", why));
    ASSERT_TRUE(files.append_synced(path, "two", why));
    EXPECT_EQ(files.read(path, why), "onetwo");
    ASSERT_TRUE(files.truncate(path, 3, why));
    EXPECT_EQ(files.read(path, why), "one");
    ASSERT_TRUE(files.replace(path, "new", why));
    EXPECT_EQ(files.read(path, why), "new");
    EXPECT_FALSE(files.append_synced(folder.path().toStdString() + "/no/such/folder", "x", why));
    EXPECT_EQ(why.step, "open");
}

} // namespace
} // namespace cedarpoint
