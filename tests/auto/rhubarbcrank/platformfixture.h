#pragma once

#include "fakesession.h"

#include <document/documentreader.h>
#include <rhubarbcrank/editpublisher.h>
#include <rhubarbcrank/platformoptions.h>

#include <string>

#include <CppUTest/TestHarness.h>

namespace Commands
{

inline constexpr Base::Duration Patience = std::chrono::seconds(5);

/// An example's document, the charts, and edits of it.
struct PlatformFixture {
    FakeSession session;
    LoadedCharts charts = loadCharts(RHUBARBCRANK_SHARE);
    Document::Document document = *Document::readFile(RHUBARBCRANK_SHARE "/plaquewright.ini").document;
    int edits = 0;

    EditRequest request(const Document::Document &wanted, const std::string &author = "anna")
    {
        return {wanted, std::nullopt, author, "", author + std::to_string(++edits), Patience};
    }

    PublishResult publish(const EditRequest &request)
    {
        return EditPublisher<FakeSession>(session, *charts.charts, request).publish();
    }

    /// How the document reads after the edit of one key.
    Document::Document withBufferWeight(double weight) const
    {
        Document::Document changed = document;
        changed.weights.buffer = weight;
        return changed;
    }

    Document::Document withMovesWeight(double weight) const
    {
        Document::Document changed = document;
        changed.weights.moves = weight;
        return changed;
    }

    /// The environment as every reader of its stream has it, with the edits after `base`.
    EnvironmentLog folded(const std::string &environment = "plaquewright", Fleet::Offset base = {})
    {
        EnvironmentLog log(*charts.charts);
        log.keepEditsAfter(base);
        readToEnd(session, environment, log, session.now());
        return log;
    }
};

} // namespace Commands
