#include "verdict.h"

#include <algorithm>

namespace Base
{

Verdict worstOf(Verdict a, Verdict b)
{
    return std::max(a, b);
}

std::string_view toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    case Verdict::Ran:
        return "ran";
    }
    return "may-have-run";
}

std::optional<Verdict> verdictFromString(std::string_view text)
{
    for (const Verdict it : {Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran}) {
        if (toString(it) == text) {
            return it;
        }
    }
    return std::nullopt;
}

} // namespace Base
