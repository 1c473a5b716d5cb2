#include "report.h"

#include <fmt/format.h>
#include <pugixml.hpp>

#include <algorithm>
#include <iterator>
#include <sstream>
#include <string_view>

namespace Replay
{

namespace
{

// Lengths are in pixels.
constexpr double Width = 800;
constexpr double Height = 320;
constexpr double Margin = 48;
constexpr double LineHeight = 16;

/// Maps seconds and slots to places on the plot.
class Scale
{
public:
    explicit Scale(const Report &report)
    {
        for (const Sample &it : report.samples) {
            m_seconds = std::max(m_seconds, secondsOf(it));
            m_slots = std::max({m_slots, it.availableSlots, it.busySlots});
        }
    }

    static double secondsOf(const Sample &sample)
    {
        return std::chrono::duration<double>(sample.at).count();
    }

    double x(const Sample &sample) const
    {
        return Margin + secondsOf(sample) / m_seconds * (Width - 2 * Margin);
    }

    double y(double slots) const
    {
        return Height - Margin - slots / m_slots * (Height - 2 * Margin);
    }

    double seconds() const
    {
        return m_seconds;
    }

    double slots() const
    {
        return m_slots;
    }

private:
    double m_seconds = 1;
    double m_slots = 1;
};

void addText(pugi::xml_node svg, double x, double y, const std::string &text, const char *color)
{
    pugi::xml_node node = svg.append_child("text");
    node.append_attribute("x") = x;
    node.append_attribute("y") = y;
    node.append_attribute("fill") = color;
    node.append_attribute("font-family") = "sans-serif";
    node.append_attribute("font-size") = 12;
    node.text() = text.c_str();
}

void addLine(pugi::xml_node svg, const std::string &points, const char *color)
{
    pugi::xml_node node = svg.append_child("polyline");
    node.append_attribute("points") = points.c_str();
    node.append_attribute("fill") = "none";
    node.append_attribute("stroke") = color;
    node.append_attribute("stroke-width") = 1.5;
}

/// A step line: a value holds until the next sample.
template<typename Value>
std::string stepsOf(const Report &report, const Scale &scale, Value value)
{
    std::string points;
    const auto out = std::back_inserter(points);
    const Sample *previous = nullptr;
    for (const Sample &it : report.samples) {
        if (previous != nullptr) {
            fmt::format_to(out, "{:.1f},{:.1f} ", scale.x(it), scale.y(value(*previous)));
        }
        fmt::format_to(out, "{:.1f},{:.1f} ", scale.x(it), scale.y(value(it)));
        previous = &it;
    }
    return points;
}

void addMoves(pugi::xml_node svg, const Report &report, const Scale &scale)
{
    std::size_t known = 0;
    for (const Sample &it : report.samples) {
        if (it.movesSoFar == known) {
            continue;
        }
        known = it.movesSoFar;
        pugi::xml_node node = svg.append_child("circle");
        node.append_attribute("class") = "move";
        node.append_attribute("cx") = fmt::format("{:.1f}", scale.x(it)).c_str();
        node.append_attribute("cy") = Height - Margin;
        node.append_attribute("r") = 3;
        node.append_attribute("fill") = "firebrick";
    }
}

void addAxes(pugi::xml_node svg, const Scale &scale)
{
    const std::string corner =
        fmt::format("{0},{0} {0},{1} {2},{1}", Margin, Height - Margin, Width - Margin);
    addLine(svg, corner, "black");
    addText(svg, Margin / 2, Margin - LineHeight / 2, fmt::format("{:.0f} slots", scale.slots()), "black");
    const double right = Width - Margin;
    addText(
        svg, right - Margin, Height - Margin + LineHeight, fmt::format("{:.0f} s", scale.seconds()), "black");
}

} // namespace

std::string toSvg(const Report &report)
{
    const Scale scale(report);
    pugi::xml_document document;
    pugi::xml_node svg = document.append_child("svg");
    svg.append_attribute("xmlns") = "http://www.w3.org/2000/svg";
    svg.append_attribute("width") = Width;
    svg.append_attribute("height") = Height;
    addAxes(svg, scale);
    addLine(svg, stepsOf(report, scale, [](const Sample &it) { return it.availableSlots; }), "steelblue");
    addLine(svg, stepsOf(report, scale, [](const Sample &it) { return it.busySlots; }), "darkorange");
    addMoves(svg, report, scale);
    addText(svg, Margin * 3, LineHeight, "available", "steelblue");
    addText(svg, Margin * 5, LineHeight, "busy", "darkorange");
    addText(svg, Margin * 6, LineHeight, "moves", "firebrick");

    std::ostringstream out;
    document.save(out, "  ");
    return out.str();
}

} // namespace Replay
