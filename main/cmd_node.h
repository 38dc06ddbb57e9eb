#ifndef GGW_MAIN_CMD_NODE_H
#define GGW_MAIN_CMD_NODE_H

/**
 * ggw_cmd_node() - run one gateway on the users' platform until SIGTERM
 *
 * Return: exit status; 2 for a settings file that cannot be used.
 */
int ggw_cmd_node(int argc, char **argv);

#endif
