cwlVersion: v1.2
class: CommandLineTool
$namespaces: {oliveshift: "https://oliveshift.example/cwl#"}
baseCommand: trace-repair
requirements:
  DockerRequirement: {dockerPull: waves/repair}
  ResourceRequirement: {coresMin: 1, ramMin: 1600}
hints:
  oliveshift:Placement: {class_of_work: trace-repair, estimate_s: 15, image_gb: 0.8}
inputs:
  trace: {type: File, inputBinding: {position: 1}}
outputs:
  repaired: {type: File, outputBinding: {glob: "$(inputs.trace.nameroot).whole.mseed"}}
