# From station records of an earthquake to the shared catalogue: gaps are
# filled and the noise of each station measured, arrivals are picked, and the
# event is merged into the catalogue.
cwlVersion: v1.2
class: Workflow
$namespaces:
  oliveshift: https://oliveshift.example/cwl#
requirements:
  ScatterFeatureRequirement: {}
  MultipleInputFeatureRequirement: {}
hints:
  oliveshift:Placement: {team: network-ops, urgency: low}
inputs:
  traces: File[]
  catalog: File
  band: {type: string, default: 1-20Hz}
outputs:
  event:
    type: File
    outputSource: merge/event
  noise:
    type: File[]
    outputSource: survey/profile
steps:
  repair:
    run: tools/trace-repair.cwl
    scatter: trace
    in: {trace: traces}
    out: [repaired]
  survey:
    run: tools/noise-survey.cwl
    scatter: trace
    in: {trace: repair/repaired, band: band}
    out: [profile]
  pick:
    run: tools/phase-picking.cwl
    scatter: [trace, noise]
    scatterMethod: dotproduct
    in: {trace: repair/repaired, noise: survey/profile}
    out: [arrivals]
  merge:
    run: tools/catalog-merge.cwl
    in: {arrivals: pick/arrivals, catalog: catalog}
    out: [event]
