#include "instanceanswer.h"

#include "commandline.h"

#include <iostream>

namespace crocusdeal
{

exit_code printAnswer(const admin_response &response)
{
    constexpr int firstRefusal = 300;
    std::cout << response.body << '\n';
    return response.status < firstRefusal ? exit_code::Done : exit_code::Refused;
}

void printNextAsked(const host_port &address, const admin_response &response)
{
    printError(toString(address) + ": " + response.failure + ", the next instance is asked");
}

}
