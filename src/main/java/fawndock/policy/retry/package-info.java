/** Whether a request may be sent again, and where, after attempts that failed. */
package fawndock.policy.retry;
