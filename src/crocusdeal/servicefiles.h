#pragma once

#include "serviceconfiguration.h"
#include "settingsproblem.h"

#include <string>
#include <vector>

namespace crocusdeal
{

struct collected_files {
    std::vector<service_file> files;
    std::vector<settings_problem> problems; ///< Of single files; that they fit together is checked elsewhere.
};

/**
 * Reads the service files at @p paths.
 *
 * A directory is searched, with its subdirectories, for `crocusdeal.json` and `*.crocusdeal.json`. A file that several
 * paths lead to is read once.
 */
collected_files collectServiceFiles(const std::vector<std::string> &paths);

}
