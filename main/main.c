#include <argp.h>

const char *argp_program_version = "greengageway 0.1.0";

int
main(int argc, char **argv)
{
    static const struct argp argp = {.doc = "HTTP load balancer"};

    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    return 0;
}
