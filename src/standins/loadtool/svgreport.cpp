#include "report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <functional>
#include <stdexcept>

namespace crocusdeal
{

namespace
{

constexpr double width = 800;
constexpr double panelHeight = 220;
constexpr double left = 70;
constexpr double right = 130;
constexpr double top = 30;
constexpr double gap = 70;
constexpr std::array<const char *, 5> colours = {"#1f77b4", "#ff7f0e", "#2ca02c", "#9467bd", "#d62728"};

/** Plots into one rectangle of the picture; both coordinates of a point are shares of the panel. */
class svg_panel
{
public:
    svg_panel(std::ostream &output, double y, const std::string &title)
        : m_output(output)
        , m_y(y)
    {
        m_output << "<text x='" << left << "' y='" << y - 8 << "' font-weight='bold'>" << title << "</text>\n"
                 << "<rect x='" << left << "' y='" << y << "' width='" << width - left - right << "' height='"
                 << panelHeight << "' fill='none' stroke='#888'/>\n";
    }

    void yLabel(double share, const std::string &text)
    {
        m_output << "<text x='" << left - 6 << "' y='" << yAt(share) + 4 << "' text-anchor='end'>" << text
                 << "</text>\n";
    }

    void xLabel(double share, const std::string &text)
    {
        m_output << "<text x='" << xAt(share) << "' y='" << m_y + panelHeight + 16 << "' text-anchor='middle'>" << text
                 << "</text>\n";
    }

    void line(const std::vector<std::pair<double, double>> &points, const std::string &name)
    {
        const auto *colour = colours[m_lines % colours.size()];
        m_output << "<polyline fill='none' stroke-width='1.5' stroke='" << colour << "' points='";
        for (const auto &[x, y] : points) {
            m_output << xAt(x) << ',' << yAt(std::clamp(y, 0.0, 1.0)) << ' ';
        }
        m_output << "'/>\n<text x='" << width - right + 8 << "' y='" << m_y + 14 + 16 * static_cast<double>(m_lines)
                 << "' fill='" << colour << "'>" << name << "</text>\n";
        ++m_lines;
    }

private:
    double xAt(double share) const
    {
        return left + share * (width - left - right);
    }
    double yAt(double share) const
    {
        return m_y + (1 - share) * panelHeight;
    }

    std::ostream &m_output;
    double m_y;
    std::size_t m_lines = 0;
};

void plotRates(std::ostream &output, const run_measurements &m)
{
    svg_panel panel(output, top, "requests per second");
    std::uint64_t highest = 1;
    for (const auto &second : m.seconds) {
        highest = std::max({highest, second.sent, second.answered, second.refused});
    }
    const auto count = static_cast<double>(std::max<std::size_t>(m.seconds.size(), 2) - 1);
    const auto plot = [&](const char *name, std::uint64_t second_counts::*member) {
        std::vector<std::pair<double, double>> points;
        points.reserve(m.seconds.size());
        for (std::size_t i = 0; i < m.seconds.size(); ++i) {
            points.emplace_back(static_cast<double>(i) / count,
                                static_cast<double>(m.seconds[i].*member) / static_cast<double>(highest));
        }
        panel.line(points, name);
    };
    plot("sent", &second_counts::sent);
    plot("answered", &second_counts::answered);
    plot("refused", &second_counts::refused);
    panel.yLabel(1, std::to_string(highest));
    panel.yLabel(0, "0");
    panel.xLabel(0, "0 s");
    panel.xLabel(1, std::to_string(static_cast<int>(count)) + " s");
}

void plotLatencies(std::ostream &output, const run_measurements &m)
{
    svg_panel panel(output, top + panelHeight + gap, "latency from the scheduled arrival (ms), by share of answers");
    constexpr double lowestMs = 0.01;
    constexpr int decades = 7;
    constexpr int nines = 4;
    constexpr int pointsPerNine = 25;
    for (int decade = 0; decade <= decades; ++decade) {
        const double ms = lowestMs * std::pow(10, decade);
        panel.yLabel(static_cast<double>(decade) / decades,
                     ms < 1 ? std::to_string(ms).substr(0, 4) : std::to_string(static_cast<int>(ms)));
    }
    for (const auto &[share, text] :
         {std::pair{0.0, "0"}, {0.25, "90%"}, {0.5, "99%"}, {0.75, "99.9%"}, {1.0, "99.99%"}}) {
        panel.xLabel(share, text);
    }
    for (std::size_t kind = 0; kind < workKindCount; ++kind) {
        if (m.kinds[kind].answered() == 0) {
            continue;
        }
        std::vector<std::pair<double, double>> points;
        for (int i = 0; i <= nines * pointsPerNine; ++i) {
            const double quantile = 1 - std::pow(10, -static_cast<double>(i) / pointsPerNine);
            const double ms = std::max(m.kinds[kind].latencyAt(quantile), lowestMs);
            points.emplace_back(static_cast<double>(i) / (nines * pointsPerNine), std::log10(ms / lowestMs) / decades);
        }
        panel.line(points, std::string(workKindNames.name(static_cast<work_kind>(kind))));
    }
}

}

void writeSvgReport(const std::string &file, const load_report &report)
{
    std::ofstream output(file);
    output << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width << "' height='"
           << 2 * panelHeight + top + gap + 40 << "' font-family='sans-serif' font-size='12'>\n"
           << "<rect width='100%' height='100%' fill='white'/>\n";
    plotRates(output, report.measurements);
    plotLatencies(output, report.measurements);
    output << "</svg>\n";
    if (!output.flush()) {
        throw std::runtime_error("cannot write " + file);
    }
}

}
