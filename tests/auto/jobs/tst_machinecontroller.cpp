#include <base/logline.h>
#include <base/timerservice.h>
#include <jobservice/machinecontroller.h>

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace std::chrono_literals;
using JobService::JobReply;
using JobService::JobRequest;

namespace
{

constexpr std::int64_t MachineCores = 32'000;
constexpr auto StoreDelay = 5ms;
constexpr std::string_view EarlierOwner = "127.0.0.1:1/i1/250/1";

// Fake platform with the store and the machines. Each answer is delayed by StoreDelay.
class FakePlatform
{
public:
    explicit FakePlatform(Base::TimerService &timers)
        : m_timers(timers)
    {
    }

    void loadMachines(Jobs::Epoch, const JobService::RecordSink &sink, const JobService::StoreCallback &done)
    {
        m_timers.subscribeAfter(StoreDelay, [this, sink, done] {
            for (const auto &[key, value] : records) {
                sink(key, value, false);
            }
            done({JobService::StoreStatus::Done});
        });
    }

    void appendMachineRecords(Jobs::Epoch,
                              std::uint64_t,
                              std::span<const Jobs::Record> stored,
                              const JobService::StoreCallback &done)
    {
        for (const Jobs::Record &it : stored) {
            records[it.key] = it.value;
        }
        m_timers.subscribeAfter(StoreDelay, [done] { done({JobService::StoreStatus::Done}); });
    }

    void listMachines(const std::function<void(std::optional<std::vector<Machines::Machine>>)> &done)
    {
        m_timers.subscribeAfter(StoreDelay, [this, done] { done(machines); });
    }

    void moveMachine(Jobs::Epoch,
                     const Machines::MoveMachine &order,
                     const std::function<void(Machines::OrderResult)> &done)
    {
        moved[order.machine] = m_timers.now();
        m_timers.subscribeAfter(StoreDelay, [done] { done(Machines::OrderResult::Done); });
    }

    void upkeepMachine(Jobs::Epoch,
                       const Machines::UpkeepMachine &order,
                       const std::function<void(Machines::OrderResult)> &done)
    {
        upkeeps.push_back(order.machine);
        if (!answersUpkeeps) {
            return;
        }
        m_timers.subscribeAfter(StoreDelay, [done] { done(Machines::OrderResult::Done); });
    }

    void writeWaveStatus(Jobs::Epoch, const Machines::WriteWaveStatus &)
    {
    }

    std::vector<Machines::Machine> machines;
    std::map<std::string, std::string> records;
    std::map<std::string, Base::Instant> moved;
    std::vector<std::string> upkeeps;
    bool answersUpkeeps = true;

private:
    Base::TimerService &m_timers;
};

} // namespace

// A pool with one machine has demand for three, and two machines are on standby. This member becomes the
// owner of the machines.
TEST_GROUP(MachineController)
{
    void setup() override
    {
        Base::LogLine::setThreshold(Base::LogLevel::Error);
        layout.load("sign", "0");
        add("m1", "sign", "w1");
        add("m2", "spare", "");
        add("m3", "spare", "");
        controller = std::make_unique<JobService::MachineController<FakePlatform>>(
            platform,
            timers,
            JobService::MachineControllerSettings{},
            layout,
            [this] {
                return Jobs::WallTime(
                    std::chrono::duration_cast<Jobs::Milliseconds>(timers.now().time_since_epoch()));
            },
            [this] { return epoch; },
            [this](const JobRequest &request, Base::Duration, const std::function<void(JobReply)> &reply) {
                answer(request, reply);
            },
            [](std::span<const Machines::Machine>) {},
            [this](const std::string &member) { return hasEarlierOwnerEnded && member == EarlierOwner; },
            "127.0.0.1:2/i2/250/1");
        controller->setPools({{"sign", false}, {"spare", true}});
        controller->start();
        advance(1s + 100ms); // between two updates, which come every quarter of a second
    }

    void add(const std::string &id, const std::string &pool, const std::string &worker)
    {
        Machines::Machine machine;
        machine.id = id;
        machine.pool = pool;
        machine.state = Machines::MachineState::Up;
        machine.worker = worker;
        machine.capacity = {MachineCores, 64'000, 0};
        platform.machines.push_back(machine);
    }

    void answer(const JobRequest &request, const std::function<void(JobReply)> &reply)
    {
        JobReply done{.status = JobReply::Status::Done};
        if (request.operation == JobService::Operation::Demand) {
            Jobs::ServiceDemand demand;
            demand.service = "sign";
            demand.milliCores = demandedCores;
            demand.arrivedJobs = 1;
            done.demand.push_back(demand);
        }
        timers.subscribeAfter(StoreDelay, [reply, done] { reply(done); });
    }

    void own()
    {
        epoch = 7;
        controller->ownershipChanged();
    }

    void advance(Base::Duration time)
    {
        const Base::Instant until = timers.now() + time;
        while (timers.nextDue() && *timers.nextDue() <= until) {
            timers.advanceTo(*timers.nextDue());
        }
        timers.advanceTo(until);
    }

    // Stores an order that an earlier owner has just given for the machine.
    void addEarlierOrder(const std::string &machine)
    {
        const auto at = std::chrono::duration_cast<Jobs::Milliseconds>(timers.now().time_since_epoch());
        platform.records["order/" + machine] = std::to_string(at.count()) + " " + std::string(EarlierOwner);
    }

    Base::TimerService timers{Base::Instant(1h)};
    FakePlatform platform{timers};
    JobService::ServiceLayout layout{24};
    std::unique_ptr<JobService::MachineController<FakePlatform>> controller;
    std::optional<Jobs::Epoch> epoch;
    bool hasEarlierOwnerEnded = false;
    std::int64_t demandedCores = 3 * MachineCores / 2;
};

// Guards against a slow start of a new owner. It detected its ownership at the next quarter of a second, read
// the machines and the demand at the second and planned at the third, which took 0.7 to 1.2 s in all
// (cmavc-rota trouble-1, after the store's outage).
TEST(MachineController, ANewOwnerOrdersMachinesAtOnce)
{
    own();
    advance(100ms);
    LONGS_EQUAL(2, platform.moved.size());
}

TEST(MachineController, ANewOwnerWaitsForMachinesThatALiveOneOrdered)
{
    addEarlierOrder("m2");
    own();
    advance(2500ms);
    LONGS_EQUAL(0, platform.moved.count("m2"));
    advance(2s);
    LONGS_EQUAL(1, platform.moved.count("m2"));
}

// Guards against waiting for orders of an owner whose process has ended (cmavc-rota scale-2: six machines
// stayed on standby for three seconds after the final fault, while callers waited).
TEST(MachineController, ANewOwnerDoesNotWaitForOneWhoseProcessHasEnded)
{
    addEarlierOrder("m2");
    own();
    advance(500ms);
    LONGS_EQUAL(0, platform.moved.count("m2"));
    hasEarlierOwnerEnded = true;
    advance(500ms);
    LONGS_EQUAL(1, platform.moved.count("m2"));
}

// Guards against planning with the demand of the previous period (mjolkurleid-rounds-grown scale-1: the
// machines of a surge were ordered a quarter of a second late).
TEST(MachineController, ARiseOfTheDemandIsPlannedWithTheAnswerThatShowsIt)
{
    demandedCores = MachineCores / 4;
    own();
    advance(2s);
    LONGS_EQUAL(0, platform.moved.size());
    const auto raisedAt = timers.now();
    demandedCores = 3 * MachineCores / 2;
    while (platform.moved.empty() && timers.now() < raisedAt + 2s) {
        advance(5ms);
    }
    // one period until the next reading, the answers of two calls and the delay that collects answers
    CHECK(timers.now() - raisedAt <= 250ms + 2 * StoreDelay + 20ms);
}

// Records written by the previous version don't name the owner.
TEST(MachineController, AnOrderOfAnUnknownOwnerIsWaitedFor)
{
    addEarlierOrder("m2");
    std::string &record = platform.records["order/m2"];
    record = record.substr(0, record.find(' '));
    hasEarlierOwnerEnded = true;
    own();
    advance(2500ms);
    LONGS_EQUAL(0, platform.moved.count("m2"));
}

// The order's owner has ended before the answer, and the order may still be carried out.
TEST(MachineController, AnUpkeepWithoutAnAnswerIsKnownToTheNextOwner)
{
    platform.answersUpkeeps = false;
    Machines::Wave wave;
    wave.number = 1;
    wave.machines = {"m2", "m3"};
    wave.duration = 40s;
    wave.announcedAt = timers.now();
    controller->setPools({{"sign", false}, {"spare", true}});
    controller->setWave(wave);
    own();
    advance(2s);
    LONGS_EQUAL(1, platform.upkeeps.size());
    epoch = 8;
    controller->ownershipChanged();
    advance(9s);
    LONGS_EQUAL(1, platform.upkeeps.size());
    advance(15s);
    CHECK(platform.upkeeps.size() > 1);
}
