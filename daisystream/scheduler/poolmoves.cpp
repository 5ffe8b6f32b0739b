#include "daisystream/scheduler/pool.h"
#include "daisystream/scheduler/poolinternal.h"

#include <algorithm>
#include <chrono>

namespace daisystream::internal
{

namespace
{

using std::chrono::milliseconds;

// Largest share of a target's memory in use, including the answer that is moved there.
constexpr double kMaxMemoryShareAfterMove = 0.97;
// Time after which a copy counts as failed. Copying the largest answers between zones takes 0.4 s.
constexpr milliseconds kCopyTimeout(1500);
// Penalties, in shares of used memory, for a target in another zone and for each other copy that the target is receiving.
constexpr double kOtherZonePenalty = 0.4;
constexpr double kIncomingCopyPenalty = 1.0;

} // namespace

void Pool::dispatchMoves(TimePoint now, std::vector<Action> &actions)
{
    for (auto evacuation = evacuations_.begin(); evacuation != evacuations_.end();) {
        auto &[waiting, copying, since] = evacuation->second;
        if (copying && now - since >= kCopyTimeout) {
            endMove(*copying); // The copy has failed or was never confirmed; the next answers must not wait for it.
        }
        while (!copying && dispatchMove(waiting, now, actions)) { }
        evacuation = waiting.empty() && !copying ? evacuations_.erase(evacuation) : std::next(evacuation);
    }
}

// Assigns a target to the smallest waiting answer that fits anywhere. Smallest first saves the most answers before the source
// endpoint is gone.
// Returns whether an answer was assigned.
bool Pool::dispatchMove(std::vector<Slot> &waiting, TimePoint now, std::vector<Action> &actions)
{
    const auto tokensOf = [this](Slot slot) {
        return requests_[slot].work.promptTokens + requests_[slot].work.heldTokens;
    };
    std::sort(waiting.begin(), waiting.end(), [&](Slot one, Slot other) { return tokensOf(one) < tokensOf(other); });
    for (const Slot slot : waiting) {
        const Request &request = requests_[slot];
        if (const auto target = chooseMoveTarget(request)) {
            const auto memory
                = MemoryForecast::contribution(lengths_, request.profile, request.work.promptTokens, request.work.heldTokens, lengthLimit(request.work));
            auto &evacuation = evacuations_[request.work.movesFrom->endpoint];
            assign(slot, {.endpoint = *target, .prefixCached = false}, memory, now, actions); // Removes the slot from `waiting`.
            evacuation.copying = slot;
            evacuation.copyingSince = now;
            ++endpoints_[*target]->incomingCopies;
            return true;
        }
    }
    return false;
}

// Ends the copy of an answer, if one is being made, so that the next answer of the same source endpoint can move.
void Pool::endMove(Slot slot)
{
    const Request &request = requests_[slot];
    if (!request.work.movesFrom) {
        return;
    }
    const auto evacuation = evacuations_.find(request.work.movesFrom->endpoint);
    if (evacuation != evacuations_.end() && evacuation->second.copying == slot) {
        evacuation->second.copying.reset();
        endpoints_[request.endpoint]->incomingCopies -= 1;
    }
}

// Checks only the memory that is in use now, not the forecast: an answer that does not move is lost.
std::optional<Pool::EndpointIndex> Pool::chooseMoveTarget(const Request &request) const
{
    std::optional<EndpointIndex> best;
    double bestScore = 0;
    for (EndpointIndex index = 0; index < endpoints_.size(); ++index) {
        if (endpoints_[index] == nullptr || !endpoints_[index]->indexed) {
            continue;
        }
        const Endpoint &endpoint = *endpoints_[index];
        const EndpointLoad &load = endpoint.load;
        const double usedShare = load.usedMemoryFraction(request.work.promptTokens + request.work.heldTokens);
        if (load.info().id == request.work.movesFrom->endpoint || usedShare > kMaxMemoryShareAfterMove || load.running() + 1 > load.info().maxBatch
            || isBarred(request.work, load.info().id)) {
            continue;
        }
        const bool inOtherZone = load.info().zone != request.work.movesFrom->zone;
        // Pending prompts of the target are ignored, since a moved answer needs no prefill.
        const double score = usedShare + (inOtherZone ? kOtherZonePenalty : 0.0) + kIncomingCopyPenalty * endpoint.incomingCopies;
        if (!best || score < bestScore) {
            best = index;
            bestScore = score;
        }
    }
    return best;
}

} // namespace daisystream::internal
