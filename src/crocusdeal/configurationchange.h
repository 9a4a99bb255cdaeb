#pragma once

#include "commandline.h"
#include "operatorplatform.h"
#include "publishattempt.h"

#include <string>
#include <vector>

namespace crocusdeal
{

/** A change of the published configuration as a command asks for it. */
struct configuration_change {
    change_planner planner;
    race_policy policy = race_policy::Refuse;
    duration platformLimit; ///< For reads and updates, repeats included.
    duration waitLimit; ///< For the instances.
    bool printsJson = false;
};

/** Adds the options that runChange() needs. */
void addChangeOptions(command_line &line);
/** Fills in the options added by addChangeOptions(). */
configuration_change changeOf(const command_line &line, change_planner planner, race_policy policy);

/** Puts a change into force, waits until all instances have it, and prints the report. */
exit_code runChange(operator_platform &platform, const configuration_change &change);

/** Lines for operators, one for each change and its details. */
std::string describe(const std::vector<service_change> &changes);
/** JSON texts for scripts. */
std::string toJson(const std::vector<service_change> &changes);
std::string toJson(const std::vector<settings_problem> &problems);

/** Prints problems on the error stream, or as JSON. */
void printProblems(const std::vector<settings_problem> &problems, bool asJson);

}
