#ifndef GGW_MAIN_CMD_GATEWAY_H
#define GGW_MAIN_CMD_GATEWAY_H

/**
 * ggw_cmd_gateway() - run the gateway daemon until SIGTERM or SIGINT
 *
 * Return: exit status; 1 when a service failed to start, 2 when an option is
 * invalid.
 */
int ggw_cmd_gateway(int argc, char **argv);

#endif
