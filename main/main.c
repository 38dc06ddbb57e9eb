#include <stdio.h>
#include <string.h>

#include "main/cmd_gateway.h"

int
main(int argc, char **argv)
{
    if (argc < 2 || strcmp(argv[1], "gateway") != 0) {
        fprintf(stderr, "Usage: greengageway gateway [OPTION...]\n");
        return 2;
    }
    return ggw_cmd_gateway(argc - 1, argv + 1);
}
