#ifndef GGW_MAIN_CMD_NODE_H
#define GGW_MAIN_CMD_NODE_H

/**
 * ggw_cmd_node() - run one gateway from the platform's settings file until
 *                  SIGTERM or SIGINT
 *
 * Return: exit status; 1 when a service failed to start, 2 when an option or
 * the settings file is invalid.
 */
int ggw_cmd_node(int argc, char **argv);

#endif
