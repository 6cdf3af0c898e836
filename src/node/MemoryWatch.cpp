#include "src/node/MemoryWatch.h"

#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"

#include <unistd.h>

#include <fstream>

namespace waxwing {

namespace {

constexpr Millis updateInterval{1000};
/** With fewer bytes of bodies than this, what is resident is the process's own. */
constexpr std::uint64_t idleBodyBytes = 1024UL * 1024;
constexpr std::uint64_t megabyte = 1024UL * 1024;

} // namespace

std::uint64_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

MemoryWatch::MemoryWatch(NodeCore &core)
    : core_(core)
{ }

void MemoryWatch::start()
{
    update();
    spawnFiber([this] {
        while (!core_.stopping) {
            sleepFor(core_.ioContext, updateInterval);
            update();
        }
    });
}

void MemoryWatch::update()
{
    if (core_.memory->heldBytes() < idleBodyBytes) {
        ownBytes_ = residentBytes();
    }
    core_.memory->setMaxBytes(bodyBytesWithin(core_.settings.limits.memoryMegabytes * megabyte, ownBytes_));
}

} // namespace waxwing
