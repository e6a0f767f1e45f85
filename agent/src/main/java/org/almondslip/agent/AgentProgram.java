package org.almondslip.agent;

import org.almondslip.process.Program;
import org.almondslip.settings.Section;

/** The agent process of a target. */
public final class AgentProgram implements Program<AgentSettings> {

  @Override
  public String name() {
    return "almondslip-agent";
  }

  @Override
  public AgentSettings readSettings(Section section) {
    return AgentSettings.of(section);
  }

  @Override
  public Running start(AgentSettings settings) {
    Agent agent = new Agent(settings);
    agent.start();
    return agent;
  }
}
