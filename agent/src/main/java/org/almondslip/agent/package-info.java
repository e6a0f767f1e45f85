/** The agent process, which grants the slots of a target and executes requests on it. */
package org.almondslip.agent;
