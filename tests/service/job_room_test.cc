// How much work an instance accepts while the leader's memory is short, and how a machine is shared out.

#include "hickoryquay/service/job_room.h"

#include <cppunit/extensions/HelperMacros.h>

#include "hickoryquay/settings/machine_limits.h"

namespace hickoryquay::service {
namespace {

using Answer = JobRoom::Answer;

constexpr Instant kNow{1'000'000};
const AccountId kAccount{"a"};
const AccountId kOther{"b"};

class JobRoomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobRoomTest);
  CPPUNIT_TEST(InstancesTogetherStayWithinTheLimit);
  CPPUNIT_TEST(JobsThatAreNotStoredYetCount);
  CPPUNIT_TEST(JobsThatMayBeStoredLateCount);
  CPPUNIT_TEST(LargeJobsTogetherStayWithinTheLimit);
  CPPUNIT_TEST(JobsOfManyInstancesStayWithinTheLimit);
  CPPUNIT_TEST(JobOverTheLimitNeverFits);
  CPPUNIT_TEST(AccountHoldsNoMoreThanItLeaves);
  CPPUNIT_TEST(AccountHasRoomAgainWhenItsJobsHaveEnded);
  CPPUNIT_TEST(OnlyLargeAccountsAreTold);
  CPPUNIT_TEST(LeaderThatTellsNothingBoundsNothing);
  CPPUNIT_TEST(SharesOfAMachineStayWithinIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against instances that fill the leader's memory between two of its heartbeats.
  void InstancesTogetherStayWithinTheLimit() {
    std::uint64_t taken = 0;
    for (int instance = 0; instance < 16; ++instance) {
      JobRoom room;
      room.OnReport({2'000, 10'000}, kNow);
      const std::uint64_t bytes = TakeAll(&room, 10);
      taken += bytes;
      SettleAll(&room, bytes, JobRoom::Outcome::kStored);
      room.OnReport({2'000, 10'000}, kNow + Millis{200});  // The leader does not know of them yet.
      CPPUNIT_ASSERT(room.Take(kAccount, 10) == Answer::kNotNow);
      room.OnReport({2'000, 10'000}, kNow + Millis{1'200});
      CPPUNIT_ASSERT(room.Take(kAccount, 10) == Answer::kFits);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8'000}, taken);
  }

  // Guards against jobs that wait for a silent store, more each second, and are all stored when it is back.
  void JobsThatAreNotStoredYetCount() {
    JobRoom room;
    room.OnReport({0, 10'000}, kNow);
    const std::uint64_t bytes = TakeAll(&room, 10);
    room.OnReport({0, 10'000}, kNow + Millis{30'000});
    CPPUNIT_ASSERT(room.Take(kAccount, 10) == Answer::kNotNow);
    SettleAll(&room, bytes, JobRoom::Outcome::kRefused);
    CPPUNIT_ASSERT_EQUAL(bytes, TakeAll(&room, 10));
  }

  // The same of writes without an answer.
  void JobsThatMayBeStoredLateCount() {
    JobRoom room;
    room.OnReport({0, 10'000}, kNow);
    SettleAll(&room, TakeAll(&room, 10), JobRoom::Outcome::kUnknown);
    room.OnReport({0, 10'000}, kNow + Millis{6'000});
    CPPUNIT_ASSERT(room.Take(kAccount, 10) == Answer::kNotNow);
    room.OnReport({0, 10'000}, kNow + Millis{7'000});
    CPPUNIT_ASSERT(room.Take(kAccount, 10) == Answer::kFits);
  }

  // Guards against instances that each accept one job as large as the leader's memory.
  void LargeJobsTogetherStayWithinTheLimit() {
    CPPUNIT_ASSERT(MostTaken(16, 16, 16'000) <= 16'000);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{16'000}, MostTaken(16, 16, 500));
  }

  // Guards against parts that are too large for so many instances.
  void JobsOfManyInstancesStayWithinTheLimit() {
    constexpr std::uint64_t kMegabyte = 1024 * 1024;
    CPPUNIT_ASSERT_EQUAL(16, JobPartsFor(1, 128 * kMegabyte));
    CPPUNIT_ASSERT_EQUAL(100, JobPartsFor(100, 128 * kMegabyte));
    CPPUNIT_ASSERT_EQUAL(40, JobPartsFor(100, 40 * kMegabyte));  // Each holds a job of 1,000 tasks.
    CPPUNIT_ASSERT_EQUAL(16, JobPartsFor(100, 1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{16'000}, MostTaken(20, JobPartsFor(20, 128 * kMegabyte), 400));
  }

  // A job within a part of an empty leader is never refused for good, a larger one at once.
  void JobOverTheLimitNeverFits() {
    JobRoom room(16'000);
    CPPUNIT_ASSERT(room.Take(kAccount, 16'001) == Answer::kNever);
    CPPUNIT_ASSERT(room.Take(kAccount, 501) == Answer::kOverPart);
    room.OnReport({15'999, 16'000}, kNow);
    CPPUNIT_ASSERT(room.Take(kAccount, 500) == Answer::kNotNow);
    room.OnReport({0, 16'000}, kNow);
    CPPUNIT_ASSERT(room.Take(kAccount, 500) == Answer::kFits);
  }

  // Guards against one account whose jobs keep those of all others from being accepted.
  void AccountHoldsNoMoreThanItLeaves() {
    std::uint64_t held = 0;
    for (int round = 0; round < 200; ++round) {
      const std::uint64_t before = held;
      for (int instance = 0; instance < 16; ++instance) {
        JobRoom room;
        room.OnReport(HeldByOne(before), kNow);
        while (room.Take(kAccount, 10) == Answer::kFits) held += 10;
      }
    }
    CPPUNIT_ASSERT(held > 15'000 && held <= 16'000);
    JobRoom room;
    room.OnReport(HeldByOne(held), kNow);
    CPPUNIT_ASSERT(room.Take(kAccount, 10) == Answer::kAccountFull);
    CPPUNIT_ASSERT(room.Take(kOther, 10) == Answer::kFits);
  }

  // Guards against an account that stays full after its jobs have ended.
  void AccountHasRoomAgainWhenItsJobsHaveEnded() {
    JobRoom room;
    room.OnReport(HeldByOne(16'000), kNow);
    CPPUNIT_ASSERT(room.Take(kAccount, 10) == Answer::kAccountFull);
    room.OnReport(HeldByOne(1'000), kNow);
    CPPUNIT_ASSERT(room.Take(kAccount, 10) == Answer::kFits);
  }

  // Guards against heartbeats that name every account.
  void OnlyLargeAccountsAreTold() {
    JobMemory memory{3'000, 32'000};
    memory.AddLarge({{kAccount, 2'000}, {kOther, 1'000}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, memory.m_accounts.size());
    CPPUNIT_ASSERT(memory.m_accounts.contains(kAccount));
  }

  // Guards against refusals while the leader is of an earlier version.
  void LeaderThatTellsNothingBoundsNothing() {
    JobRoom room;
    room.OnReport({0, 0}, kNow);
    CPPUNIT_ASSERT(room.Take(kAccount, 1'000'000'000'000) == Answer::kFits);
  }

  // Guards against limits that add up to more than there is, on any machine of the platform's pages and smaller ones.
  void SharesOfAMachineStayWithinIt() {
    for (const auto& [memory_mb, descriptors] :
         {std::pair{64, 400}, {120, 3'075}, {128, 3'072}, {160, 4'100}, {260, 4'100}, {400, 10'250}, {512, 8'192}}) {
      settings::CapacitySection machine;
      machine.m_memory_mb = memory_mb;
      machine.m_descriptors = descriptors;
      const settings::MachineLimits limits = settings::ShareOut(machine);
      const std::uint64_t memory = static_cast<std::uint64_t>(memory_mb) * 1024 * 1024;
      CPPUNIT_ASSERT_MESSAGE(std::to_string(memory_mb), settings::SumOf(limits) < memory);
      CPPUNIT_ASSERT(limits.m_caller_connections + limits.m_peer_connections + 2 * limits.m_probe_connections <
                     descriptors - 200);
    }
  }

 private:
  // What so many instances take of 16,000 at a moment, in jobs of that size.
  static std::uint64_t MostTaken(int instances, int parts, std::uint64_t job) {
    std::uint64_t taken = 0;
    for (int instance = 0; instance < instances; ++instance) {
      JobRoom room;
      room.OnReport({0, 16'000, parts}, kNow);
      taken += TakeAll(&room, job);
    }
    return taken;
  }

  // What two accounts get at an instance.
  static std::uint64_t TakeAll(JobRoom* room, std::uint64_t job) {
    std::uint64_t taken = 0;
    for (const AccountId& account : {kAccount, kOther}) {
      while (room->Take(account, job) == Answer::kFits) taken += job;
    }
    return taken;
  }

  // What TakeAll() has taken, half of it by each account.
  static void SettleAll(JobRoom* room, std::uint64_t bytes, JobRoom::Outcome outcome) {
    for (const AccountId& account : {kAccount, kOther}) room->Settle(account, bytes / 2, outcome, kNow);
  }

  // Of 32,000.
  static JobMemory HeldByOne(std::uint64_t bytes) {
    JobMemory memory{bytes, 32'000};
    memory.AddLarge({{kAccount, bytes}});
    return memory;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(JobRoomTest);

}  // namespace
}  // namespace hickoryquay::service
