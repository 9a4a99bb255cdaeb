#include <iostream>

int main()
{
    std::cerr << "not implemented\n";
    return 1;
}
