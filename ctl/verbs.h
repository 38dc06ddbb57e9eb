#ifndef GGW_CTL_VERBS_H
#define GGW_CTL_VERBS_H

/* The run functions of ggw_ctl_verbs, by the file that defines them. */

/* verbs_change.c */
int ggw_ctl_set(int argc, char **argv);
int ggw_ctl_apply(int argc, char **argv);
int ggw_ctl_domain_out(int argc, char **argv);
int ggw_ctl_domain_in(int argc, char **argv);
int ggw_ctl_drain(int argc, char **argv);
int ggw_ctl_undrain(int argc, char **argv);

/* verbs_customers.c */
int ggw_ctl_customers(int argc, char **argv);

/* verbs_read.c */
int ggw_ctl_show(int argc, char **argv);
int ggw_ctl_diff(int argc, char **argv);
int ggw_ctl_audit(int argc, char **argv);
int ggw_ctl_settings(int argc, char **argv);

/* verbs_route.c */
int ggw_ctl_route(int argc, char **argv);

/* verbs_rollouts.c */
int ggw_ctl_rollouts(int argc, char **argv);

/* verbs_status.c */
int ggw_ctl_status(int argc, char **argv);
int ggw_ctl_wait(int argc, char **argv);

#endif
