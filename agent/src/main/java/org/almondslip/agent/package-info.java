/** Program that runs beside a target, grants its slots and runs requests on it. */
package org.almondslip.agent;
