#include "servicefiles.h"

#include "configurationjson.h"

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace crocusdeal
{

namespace
{

namespace fs = std::filesystem;

bool isServiceFile(const fs::path &path)
{
    const std::string name = path.filename();
    const std::string suffix = ".crocusdeal.json";
    return name == "crocusdeal.json"
        || (name.size() > suffix.size() && name.compare(name.size() - suffix.size(), suffix.size(), suffix) == 0);
}

/** The service files below @p directory, in the order of their names, so that reports do not depend on the disk. */
std::set<fs::path> searchDirectory(const fs::path &directory, std::vector<settings_problem> &problems)
{
    std::set<fs::path> found;
    std::error_code error;
    fs::recursive_directory_iterator entry(directory, fs::directory_options::skip_permission_denied, error);
    for (; !error && entry != fs::recursive_directory_iterator(); entry.increment(error)) {
        std::error_code unreadable;
        if (isServiceFile(entry->path()) && entry->is_regular_file(unreadable)) {
            found.insert(entry->path());
        }
    }
    if (error) {
        problems.push_back({directory.string(), "", "cannot be searched: " + error.message()});
    } else if (found.empty()) {
        problems.push_back({directory.string(), "", "no file crocusdeal.json or *.crocusdeal.json found"});
    }
    return found;
}

void readFile(const fs::path &path, collected_files &collected)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        collected.problems.push_back({path.string(), "", "cannot be read"});
        return;
    }
    auto parsed = parseServiceFile(text.str(), path.string());
    if (parsed.value) {
        collected.files.push_back(std::move(*parsed.value));
    }
    collected.problems.insert(collected.problems.end(), parsed.problems.begin(), parsed.problems.end());
}

}

collected_files collectServiceFiles(const std::vector<std::string> &paths)
{
    collected_files collected;
    std::set<fs::path> seen;
    for (const fs::path path : paths) {
        std::error_code error;
        const auto found =
            fs::is_directory(path, error) ? searchDirectory(path, collected.problems) : std::set<fs::path>{path};
        for (const auto &file : found) {
            const auto canonical = fs::weakly_canonical(file, error);
            if (seen.insert(error ? file : canonical).second) {
                readFile(file, collected);
            }
        }
    }
    return collected;
}

}
